//! Replaces a primary that serves all reads because its replicas apply commits far too late.
//!
//! Answers the load of a set whose replicas have received everything and lag by many seconds: their
//! slots idle while the primary is congested. A replica that is promoted has applied all that it had
//! received, and the former primary goes on as a replica without lag.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::Action;
use super::super::relief::Relief;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::Tables;
use super::takeovers::STATUS_TIMEOUT_US;
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// Lag of every replica from which a replacement is worth its gap. Shorter ones pass by themselves.
const LAG_MS: u64 = 5_000;
/// Age of an answer from which it is not used.
const ANSWER_US: u64 = 400_000;
/// Time after a replacement in which another one is not considered, so that lags which come with the
/// role do not move it round and round.
const REST_US: u64 = 15_000_000;

/// The traffic thread reports that the primary serves all reads: the replicas are asked.
pub fn reported(tables: &mut Tables, name: &Bytes, term: Term, now_us: u64) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    let rests = set.record.as_ref().is_some_and(|known| now_us < known.seen_us + REST_US);
    if set.term() != term || set.is_held() || set.takeover.is_some() || rests {
        return;
    }
    set.relief = Some(Relief::default());
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

/// A replica has reported its state.
pub fn answered(tables: &mut Tables, call: &InstanceCall, status: InstanceStatus, now_us: u64) {
    let Some(set) = tables.sets.get_mut(&call.replica_set) else { return };
    if let Some(relief) = &mut set.relief {
        relief.statuses.retain(|(id, _, _)| *id != call.instance);
        relief.statuses.push((call.instance.clone(), status, now_us));
    }
}

/// Whether every replica lags far behind and one of them has received all that is known.
pub fn is_due(set: &ReplicaSetState, now_us: u64) -> bool {
    let Some(relief) = &set.relief else { return false };
    let mut has_all = false;
    let all_lag = replicas(set).all(|id| {
        relief.statuses.iter().any(|(other, status, at_us)| {
            has_all |= *other == *id && set.last_position <= Some(status.received);
            *other == *id
                && status.role == ReplicationRole::Replica
                && status.lag_ms >= LAG_MS
                && now_us < at_us + ANSWER_US
        })
    });
    all_lag && has_all
}
