//! Makes the other instances of an open database replicate from its primary.

use crate::control::InstanceOperation;
use crate::control::tables::{InstanceState, Tables};
use crate::{DatabaseId, InstanceId, InstanceRole, Term};

const FOLLOW_TIMEOUT_US: u64 = 400_000;
/// Time without contact to the primary after which a replica gets the follow call again, in case it
/// has restarted.
const REPEAT_AFTER_US: u64 = 1_000_000;

pub(crate) fn run(tables: &mut Tables) {
    for database in tables.due_owned.clone() {
        let Some(primary) = tables.owned.get(&database).and_then(|owned| owned.primary()) else {
            continue;
        };
        for index in tables.owned[&database].indices() {
            if index != primary {
                ensure_following(tables, database, index, primary);
            }
        }
    }
}

fn ensure_following(tables: &mut Tables, database: DatabaseId, index: u8, primary: u8) {
    let now_us = tables.now_us;
    let instance = InstanceId { database, index };
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let term = owned.term;
    let state = &mut owned.instances[usize::from(index)];
    if !needs_call(state, term, now_us) {
        return;
    }
    state.following_since_us = None;
    if now_us < state.retry_at_us {
        tables.timers.owned.set_if_earlier(database, state.retry_at_us);
        return;
    }
    let primary = InstanceId { database, index: primary };
    let Some(primary) = tables.configuration.current.instance(primary) else { return };
    let operation = InstanceOperation::Follow { term, primary: primary.address };
    let call = tables.call_instance(instance, operation, FOLLOW_TIMEOUT_US);
    if let Some(state) = tables.instance_mut(instance) {
        state.follow_call = Some(call);
    }
}

/// Whether a follow call must be sent. An instance that does not respond to status calls gets none:
/// the first sign of its return is the response to a status call.
fn needs_call(state: &InstanceState, term: Term, now_us: u64) -> bool {
    if state.follow_call.is_some() || state.failing_since_us.is_some() {
        return false;
    }
    if state.following_since_us.is_none() {
        return true;
    }
    let is_not_following = state
        .report
        .is_some_and(|report| report.role == InstanceRole::Primary || report.accepted_term < term);
    let is_silent = state.silent_since_us().is_some_and(|at_us| at_us + REPEAT_AFTER_US <= now_us);
    // An older report shows the state before the last follow call.
    let is_newer = state.following_since_us.is_some_and(|at_us| state.report_sent_us >= at_us);
    (is_not_following && is_newer) || is_silent
}
