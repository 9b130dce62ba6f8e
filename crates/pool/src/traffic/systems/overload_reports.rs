//! Reports replica sets whose primary is congested because every replica lags too far behind to
//! serve reads.

use super::super::ReplicaState;
use super::super::Report;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::tables::Tables;

/// Time for which all connected replicas must have been behind.
const MIN_BEHIND_US: u64 = 1_000_000;
/// Shortest time between two reports for a set.
const REPORT_INTERVAL_US: u64 = 500_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    for key in tables.replica_sets.keys_where(|set| set.state == PrimaryState::Serving) {
        let Some(set) = tables.replica_sets.get_mut(key) else { continue };
        set.refusal_rate.decay(now_us);
        let Some(set) = tables.replica_sets.get(key) else { continue };
        if now_us < set.overload_reported_us + REPORT_INTERVAL_US
            || !is_overloaded(tables, set, now_us)
        {
            continue;
        }
        let (replica_set, term) = (set.name.clone(), set.term);
        tables.reports.push(Report::PrimaryOverloaded { replica_set, term });
        if let Some(set) = tables.replica_sets.get_mut(key) {
            set.overload_reported_us = now_us;
        }
    }
}

fn is_overloaded(tables: &Tables, set: &ReplicaSet, now_us: u64) -> bool {
    let primary = set.primary.and_then(|key| tables.instances.get(key));
    let is_congested = primary.is_some_and(|instance| instance.congestion.is_congested());
    if !is_congested || !set.refusal_rate.is_significant() {
        return false;
    }
    let mut connected_replicas = set
        .instances
        .iter()
        .filter(|key| set.primary != Some(**key))
        .filter_map(|key| tables.instances.get(*key))
        .filter(|instance| !instance.connections.is_empty())
        .peekable();
    connected_replicas.peek().is_some()
        && connected_replicas.all(|instance| {
            instance.reported_state == ReplicaState::Behind
                && now_us >= instance.state_reported_us + MIN_BEHIND_US
        })
}
