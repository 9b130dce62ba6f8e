//! Polls the status of the instances of owned databases.

use crate::control::InstanceOperation;
use crate::control::tables::{OwnedDatabase, Phase, Tables};
use crate::{DatabaseId, InstanceId};

const PRIMARY_INTERVAL_US: u64 = 200_000;
const REPLICA_INTERVAL_US: u64 = 600_000;
/// Interval for all instances while a failure is suspected or a planned change is in progress.
const FAST_INTERVAL_US: u64 = 100_000;
/// Time after which a status call counts as missed and the next one is sent.
const MISSED_AFTER_US: u64 = 200_000;
/// Timeout of a status call; a later response is ignored.
pub(crate) const STATUS_TIMEOUT_US: u64 = 600_000;
/// Time without contact between a replica and the primary from which a failure is suspected: three
/// missed keepalives.
const SUSPICIOUS_SILENCE_US: u64 = 300_000;

pub(crate) fn run(tables: &mut Tables) {
    let now_us = tables.now_us;
    for instance in tables.timers.instance.take_expired(now_us) {
        if !should_send_status(tables, instance) {
            continue;
        }
        let call = tables.call_instance(instance, InstanceOperation::Status, STATUS_TIMEOUT_US);
        tables.timers.instance_call.set(call, now_us + MISSED_AFTER_US);
        if let Some(state) = tables.instance_mut(instance) {
            state.status_call = Some(call);
            state.status_sent_us = now_us;
        }
    }
}

/// Whether a status call is sent to the instance now. All instances of an open database get them,
/// and so does an instance whose promotion has an unknown outcome, unless a status call is in
/// flight that does not count as missed yet.
fn should_send_status(tables: &Tables, instance: InstanceId) -> bool {
    let Some(owned) = tables.owned.get(&instance.database) else { return false };
    let is_idle = owned
        .instances
        .get(usize::from(instance.index))
        .is_some_and(|state| state.status_call.is_none());
    is_idle
        && match owned.phase {
            Phase::Open { .. } => true,
            Phase::Resolving { index, .. } => index == instance.index,
            Phase::Fencing { .. } | Phase::Promoting { .. } => false,
        }
}

/// Schedules the next status call to an instance after the previous one has ended or was missed.
pub(crate) fn schedule(tables: &mut Tables, instance: InstanceId) {
    let Some(owned) = tables.owned.get(&instance.database) else { return };
    let state = &owned.instances[usize::from(instance.index)];
    let due_us = state.status_sent_us + interval_us(owned, instance.index);
    tables.timers.instance.set(instance, due_us.max(tables.now_us));
}

/// Reschedules the next status calls to the fast interval if it applies.
pub(crate) fn poll_faster(tables: &mut Tables, database: DatabaseId) {
    let Some(owned) = tables.owned.get(&database) else { return };
    if !needs_fast_polling(owned) {
        return;
    }
    for (index, state) in owned.indices().zip(&owned.instances) {
        if state.status_call.is_none() {
            let due_us = (state.status_sent_us + FAST_INTERVAL_US).max(tables.now_us);
            tables.timers.instance.set_if_earlier(InstanceId { database, index }, due_us);
        }
    }
}

fn interval_us(owned: &OwnedDatabase, index: u8) -> u64 {
    match owned.phase {
        _ if needs_fast_polling(owned) => FAST_INTERVAL_US,
        Phase::Open { primary } if primary != index => REPLICA_INTERVAL_US,
        _ => PRIMARY_INTERVAL_US,
    }
}

/// Whether a failure is suspected, or a planned change is waiting for current positions.
fn needs_fast_polling(owned: &OwnedDatabase) -> bool {
    let is_resolving = matches!(owned.phase, Phase::Resolving { .. });
    is_resolving
        || owned.transfer.is_some()
        || owned.instances.iter().any(|state| {
            let is_silent = state
                .silent_since_us()
                .is_some_and(|at_us| at_us + SUSPICIOUS_SILENCE_US <= state.reported_at_us);
            state.failing_since_us.is_some() || is_silent
        })
}
