//! Applies the responses of database instances to the table of owned databases.

use super::{fencing, monitor, ownership};
use crate::control::InstanceOperation;
use crate::control::inputs::InstanceCallResult;
use crate::control::tables::{InstanceCall, Phase, Tables};
use crate::traffic::ProbeFailure;
use crate::{DatabaseId, InstanceCallKey, InstanceReport, Term};

/// Applies responses before timeouts: after a stall of this process both can be pending for the
/// same call, and the response then takes precedence.
pub(crate) fn run(tables: &mut Tables) {
    for (key, result) in core::mem::take(&mut tables.inputs.instance_responses) {
        finish(tables, key, result);
    }
    for key in tables.timers.instance_call.take_expired(tables.now_us) {
        if !mark_missed(tables, key) {
            finish(tables, key, Err(ProbeFailure::Timeout));
        }
    }
}

/// Marks a status call as missed, well before its timeout, so that the next one is sent. A late
/// response is still used, since the instance may only be slow. Returns `false` if the call was not
/// the current status call of its instance.
fn mark_missed(tables: &mut Tables, key: InstanceCallKey) -> bool {
    let Some(&call) = tables.instance_calls.get(key) else { return false };
    let resumed_at_us = tables.resumed_at_us;
    let Some(state) = tables.instance_mut(call.instance) else { return false };
    if state.status_call.take_if(|present| *present == key).is_none() {
        return false;
    }
    // A call that went unanswered during a stall of this process is no evidence of a failure.
    state.record_probe_failure(call.sent_at_us.max(resumed_at_us), ProbeFailure::Timeout);
    tables.counters.group_failures += 1;
    tables.timers.instance_call.set(key, call.sent_at_us + monitor::STATUS_TIMEOUT_US);
    monitor::schedule(tables, call.instance);
    tables.timers.owned.set_if_earlier(call.instance.database, tables.now_us);
    true
}

fn finish(tables: &mut Tables, key: InstanceCallKey, result: InstanceCallResult) {
    let Some(call) = tables.instance_calls.remove(key) else { return };
    tables.timers.instance_call.cancel(key);
    let database = call.instance.database;
    if !update_instance(tables, key, &call, result) {
        return;
    }
    if result.is_err() {
        tables.counters.group_failures += 1;
    }
    if let InstanceOperation::Promote(term) = call.operation {
        handle_promotion(tables, &call, term, result);
    }
    if let Ok(report) = result {
        check_term(tables, database, report);
    }
    if let InstanceOperation::Status = call.operation {
        monitor::schedule(tables, call.instance);
    }
    tables.timers.owned.set_if_earlier(database, tables.now_us);
}

/// Updates the state of the instance. Returns `false` for a response that is outdated and must be
/// ignored.
fn update_instance(
    tables: &mut Tables,
    key: InstanceCallKey,
    call: &InstanceCall,
    result: InstanceCallResult,
) -> bool {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&call.instance.database) else { return false };
    let (term, is_stale) = (owned.term, call.sent_at_us < owned.monitored_since_us);
    let Some(state) = owned.instances.get_mut(usize::from(call.instance.index)) else {
        return false;
    };
    let is_late_report = result.is_ok() && !is_stale;
    let is_current = match call.operation {
        // The late response to a missed call is used; its failure has already been counted.
        InstanceOperation::Status => clear_slot(&mut state.status_call, key) || is_late_report,
        InstanceOperation::AcceptTerm(_) => clear_slot(&mut state.fence_call, key),
        InstanceOperation::Follow { .. } => clear_slot(&mut state.follow_call, key),
        InstanceOperation::Promote(promoted) => promoted == term,
    };
    if !is_current {
        return false;
    }
    let report = result.ok().filter(|report| report.accepted);
    match (call.operation, result) {
        (InstanceOperation::Status, Err(failure)) => {
            state.record_probe_failure(call.sent_at_us.max(tables.resumed_at_us), failure);
        }
        (InstanceOperation::AcceptTerm(_), _) => state.record_fencing_result(report, now_us),
        (InstanceOperation::Follow { .. }, _) => {
            state.record_follow_result(report.is_some(), now_us)
        }
        _ => {}
    }
    if let Ok(report) = result {
        state.record_report(report, call.sent_at_us, now_us);
    }
    true
}

/// Clears the slot for a call in flight if it holds this call; returns whether it did.
fn clear_slot(slot: &mut Option<InstanceCallKey>, key: InstanceCallKey) -> bool {
    slot.take_if(|present| *present == key).is_some()
}

/// Applies the outcome of a promotion call. If the response was lost, the instance may or may not
/// have been promoted, and the `Resolving` phase finds out.
fn handle_promotion(
    tables: &mut Tables,
    call: &InstanceCall,
    term: Term,
    result: InstanceCallResult,
) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&call.instance.database) else { return };
    let index = call.instance.index;
    if owned.phase != (Phase::Promoting { index }) || owned.term != term {
        return;
    }
    match result {
        Ok(report) if report.accepted => fencing::open(tables, call.instance),
        // The term was too low: `check_term` raises it.
        Ok(report) if report.accepted_term > term => {}
        _ => {
            owned.phase = Phase::Resolving { index, since_us: now_us };
            tables.timers.instance.set(call.instance, now_us);
        }
    }
}

/// Reacts to an accepted term above the current one. It belongs to a newer owner if its epoch is
/// higher, otherwise to an interrupted attempt of this host.
fn check_term(tables: &mut Tables, database: DatabaseId, report: InstanceReport) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let accepted = report.accepted_term;
    if accepted <= owned.term {
        return;
    }
    if accepted.epoch() > owned.epoch {
        ownership::observe_epoch(tables, database, None, accepted.epoch());
    } else {
        owned.begin_next_term(accepted, now_us);
        tables.view_changed = true;
    }
}
