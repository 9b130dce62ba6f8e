//! Reports whenever a replica becomes eligible or ineligible for reads.

use super::super::Report;
use super::super::instance::Instance;
use super::super::replica_set::ReplicaSet;
use super::super::replica_state::ReplicaState;
use super::super::tables::Tables;
use super::{placement, replica_placement};
use crate::InstanceKey;

/// Shortest time between two reports for a replica whose state keeps changing.
const REPORT_INTERVAL_US: u64 = 500_000;

/// Reports the state of a replica if it differs from the last reported one.
pub fn report_change(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    let state = state(tables, set, instance, now_us);
    let is_primary = set.primary == Some(key);
    let is_rate_limited = now_us < instance.state_reported_us + REPORT_INTERVAL_US;
    if is_primary || state == instance.reported_state || is_rate_limited {
        return;
    }
    let lag_ms = replica_placement::lag_us(set, instance).map(|us| us / 1_000);
    tables.reports.push(Report::ReplicaStateChanged {
        replica_set: set.name.clone(),
        instance: instance.id.clone(),
        state,
        lag_ms,
        failure_permille: instance.failure_permille,
    });
    if let Some(instance) = tables.instances.get_mut(key) {
        instance.reported_state = state;
        instance.state_reported_us = now_us;
    }
}

fn state(tables: &Tables, set: &ReplicaSet, instance: &Instance, now_us: u64) -> ReplicaState {
    if instance.is_leaving {
        return ReplicaState::Leaving;
    }
    if instance.connections.is_empty() && !instance.is_unreachable {
        // Otherwise a replica that is behind would be connected again as soon as its connection has
        // been closed.
        let is_current = instance
            .observed_position
            .is_some_and(|(seen_us, _)| now_us < seen_us + replica_placement::OBSERVATION_VALID_US);
        return if is_current { instance.reported_state } else { ReplicaState::Unknown };
    }
    if instance.is_unreachable || instance.suspected_since_us.is_some() {
        return ReplicaState::Silent;
    }
    if instance.is_failing() {
        return ReplicaState::Failing;
    }
    let read_time_us = placement::read_time_us(set.max_staleness_us, now_us);
    let Some(position) = set.positions.covering(read_time_us) else { return ReplicaState::Unknown };
    match replica_placement::is_fresh(tables, set, instance, position, read_time_us, now_us) {
        true => ReplicaState::Used,
        false => ReplicaState::Behind,
    }
}
