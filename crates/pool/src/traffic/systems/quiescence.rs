//! Tells the control machine when a held primary has nothing left to do.

use super::super::Report;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::tables::Tables;

pub fn run(tables: &mut Tables) {
    let held: Vec<_> =
        tables.replica_sets.keys_where(|set| matches!(set.state, PrimaryState::Held { .. }));
    for key in held {
        let Some(set) = tables.replica_sets.get(key) else { continue };
        if set.quiet_reported == Some(set.term) || !is_quiet(tables, set) {
            continue;
        }
        let seen = set.primary.and_then(|primary| tables.instances.get(primary)?.seen);
        let report = Report::PrimaryQuiescent {
            replica_set: set.name.clone(),
            term: set.term,
            position: seen.map(|(_, position)| position),
        };
        tables.reports.push(report);
        if let Some(set) = tables.replica_sets.get_mut(key) {
            set.quiet_reported = Some(set.term);
        }
    }
}

fn is_quiet(tables: &Tables, set: &ReplicaSet) -> bool {
    let Some(instance) = set.primary.and_then(|primary| tables.instances.get(primary)) else {
        return true;
    };
    instance.connections.iter().all(|key| {
        tables.connections.get(*key).is_none_or(|connection| connection.session.is_none())
    })
}
