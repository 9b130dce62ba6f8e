//! Fails over a primary that serves all reads because its replicas apply commits far too late.
//!
//! This covers a replica set whose replicas have received every commit but lag by many seconds in
//! applying them: they sit idle while the primary is congested. A promoted replica has applied
//! everything that it had received, and the old primary continues as a replica without lag.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::Action;
use super::super::lag_check::LagCheck;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::Tables;
use super::failovers::STATUS_TIMEOUT_US;
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// Lag that all replicas must reach to justify the interruption of a failover. Smaller lags recover
/// without one.
const FAILOVER_LAG_MS: u64 = 5_000;
/// Age from which a status response is not used any more.
const STATUS_VALID_US: u64 = 400_000;
/// Time after a failover during which lag does not cause another one. Otherwise lag that comes with
/// the role could move the primary back and forth.
const COOLDOWN_US: u64 = 15_000_000;

/// Polls the replicas after the traffic thread has reported that the primary serves all reads.
pub fn start_check(tables: &mut Tables, name: &Bytes, term: Term, now_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    let is_cooling_down =
        set.record.as_ref().is_some_and(|known| now_us < known.seen_us + COOLDOWN_US);
    if set.term() != term || set.is_replacing() || set.failover.is_some() || is_cooling_down {
        return;
    }
    set.lag_check = Some(LagCheck::default());
    let calls: Vec<Action> = replicas(set)
        .map(|id| {
            Action::Call(InstanceCall {
                replica_set: name.clone(),
                instance: id.clone(),
                command: InstanceCommand::Status,
                deadline_us: now_us + STATUS_TIMEOUT_US,
            })
        })
        .collect();
    tables.actions.extend(calls);
}

fn replicas(set: &ReplicaSetState) -> impl Iterator<Item = &Bytes> {
    let primary = set.primary().map(|(id, _)| id);
    set.instances
        .iter()
        .filter(move |(id, row)| {
            Some(*id) != primary && !row.entry.is_leaving && row.missing_since_us.is_none()
        })
        .map(|(id, _)| id)
}

/// Records the status of a replica.
pub fn status_received(
    tables: &mut Tables,
    call: &InstanceCall,
    status: InstanceStatus,
    now_us: u64,
) {
    let Some(set) = tables.replica_sets.get_mut(&call.replica_set) else { return };
    if let Some(check) = &mut set.lag_check {
        check.statuses.retain(|(id, _, _)| *id != call.instance);
        check.statuses.push((call.instance.clone(), status, now_us));
    }
}

/// Whether every replica lags far behind and at least one has received every known commit.
pub fn requires_failover(set: &ReplicaSetState, now_us: u64) -> bool {
    let Some(check) = &set.lag_check else { return false };
    let mut has_received_all = false;
    let all_are_lagging = replicas(set).all(|id| {
        check.statuses.iter().any(|(other, status, at_us)| {
            has_received_all |= *other == *id && set.last_position <= Some(status.received);
            *other == *id
                && status.role == ReplicationRole::Replica
                && status.lag_ms >= FAILOVER_LAG_MS
                && now_us < at_us + STATUS_VALID_US
        })
    });
    all_are_lagging && has_received_all
}
