//! Tells the control state machine when no session uses a primary that is being replaced.

use super::super::Report;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::tables::Tables;

pub fn run(tables: &mut Tables) {
    let replacing: Vec<_> =
        tables.replica_sets.keys_where(|set| matches!(set.state, PrimaryState::Replacing { .. }));
    for key in replacing {
        let Some(set) = tables.replica_sets.get(key) else { continue };
        if set.quiescent_reported_term == Some(set.term) || !is_quiescent(tables, set) {
            continue;
        }
        let observed =
            set.primary.and_then(|primary| tables.instances.get(primary)?.observed_position);
        let report = Report::PrimaryQuiescent {
            replica_set: set.name.clone(),
            term: set.term,
            position: observed.map(|(_, position)| position),
        };
        tables.reports.push(report);
        if let Some(set) = tables.replica_sets.get_mut(key) {
            set.quiescent_reported_term = Some(set.term);
        }
    }
}

fn is_quiescent(tables: &Tables, set: &ReplicaSet) -> bool {
    let Some(instance) = set.primary.and_then(|primary| tables.instances.get(primary)) else {
        return true;
    };
    instance.connections.iter().all(|key| {
        tables.connections.get(*key).is_none_or(|connection| connection.session.is_none())
    })
}
