//! Switchover: moves a healthy primary on an operator's request, or away from a leaving host.

use crate::control::StateChange;
use crate::control::tables::{OwnedDatabase, Phase, Tables, Transfer};
use crate::{DatabaseId, InstanceId};

/// Time that open transactions get to finish. Together with the time to catch up it stays within
/// the 5 s target for a service gap.
const QUIESCE_TIMEOUT_US: u64 = 2_000_000;
/// Time that the target gets to reach the primary's position once the database is quiescent.
const CATCH_UP_TIMEOUT_US: u64 = 3_000_000;
/// Delay between attempts to move a primary away from a leaving host. Until the primary has moved,
/// it gets no new work.
const EVACUATION_RETRY_US: u64 = 2_000_000;
/// Interval at which the owner looks for an instance that can replace the primary on a leaving
/// host, while there is none.
const EVACUATION_RECHECK_US: u64 = 1_000_000;

pub(crate) fn run(tables: &mut Tables) {
    for (database, epoch) in core::mem::take(&mut tables.inputs.quiescent) {
        record_quiescence(tables, database, epoch);
    }
    for (database, target) in core::mem::take(&mut tables.inputs.switchover_requests) {
        start_switchover(tables, database, target);
    }
    for database in tables.due_owned.clone() {
        evacuate(tables, database);
        advance(tables, database);
    }
}

fn record_quiescence(tables: &mut Tables, database: DatabaseId, epoch: u32) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database).filter(|o| o.epoch == epoch) else { return };
    match &mut owned.transfer {
        Some(Transfer::Switchover { quiescent_at_us, deadline_us, .. }) => {
            if quiescent_at_us.is_none() {
                *quiescent_at_us = Some(now_us);
                *deadline_us = now_us + CATCH_UP_TIMEOUT_US;
            }
        }
        Some(Transfer::Handover { quiescent, .. }) => *quiescent = true,
        None => return,
    }
    tables.mark_due(database);
    let Some(owned) = tables.owned.get(&database) else { return };
    for index in owned.indices() {
        tables.timers.instance.set_if_earlier(InstanceId { database, index }, now_us);
    }
}

fn start_switchover(tables: &mut Tables, database: DatabaseId, target: u8) {
    let deadline_us = tables.now_us + tables.config.handover_timeout_us.min(QUIESCE_TIMEOUT_US);
    let Some(owned) = tables.owned.get_mut(&database) else {
        let reason = "this host does not own the database";
        tables.log(StateChange::SwitchoverAbandoned { database, reason });
        return;
    };
    let reason = match owned.primary() {
        _ if usize::from(target) >= owned.instances.len() => Some("there is no such instance"),
        _ if owned.transfer.is_some() => Some("another planned change is going on"),
        None => Some("a promotion is going on"),
        Some(primary) if primary == target => Some("the instance is the primary already"),
        Some(_) => None,
    };
    if let Some(reason) = reason {
        tables.log(StateChange::SwitchoverAbandoned { database, reason });
        return;
    }
    // Delays the next evacuation in case this attempt does not move the primary.
    owned.next_evacuation_us = tables.now_us + EVACUATION_RETRY_US;
    owned.transfer = Some(Transfer::Switchover { target, deadline_us, quiescent_at_us: None });
    tables.view_changed = true;
    tables.mark_due(database);
    tables.log(StateChange::TransferStarted { database, change: "promotion" });
}

/// Starts a switchover if the primary is on a leaving host.
fn evacuate(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let leaving = tables.leaving_indices(database);
    let is_draining = tables.draining;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let is_needed = owned.primary().is_some_and(|primary| leaving.contains(&primary));
    if !is_needed || owned.transfer.is_some() || is_draining {
        return;
    }
    if now_us < owned.next_evacuation_us {
        tables.timers.owned.set_if_earlier(database, owned.next_evacuation_us);
        return;
    }
    match evacuation_target(owned, &leaving) {
        Some(target) => start_switchover(tables, database, target),
        None => owned.next_evacuation_us = now_us + EVACUATION_RECHECK_US,
    }
}

/// The responsive replica with the highest position that is not on a leaving host.
fn evacuation_target(owned: &OwnedDatabase, leaving: &[u8]) -> Option<u8> {
    let primary = owned.primary()?;
    owned
        .indices()
        .zip(&owned.instances)
        .filter(|&(index, state)| {
            index != primary && !leaving.contains(&index) && state.is_responsive()
        })
        .filter(|(_, state)| state.following_since_us.is_some())
        .max_by_key(|(index, state)| {
            (state.report.map(|report| report.position), core::cmp::Reverse(*index))
        })
        .map(|(index, _)| index)
}

/// Advances a switchover: waits until the database is quiescent, then until the target has the
/// primary's position, then fences the instances.
fn advance(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let Some(Transfer::Switchover { target, deadline_us, quiescent_at_us }) = owned.transfer else {
        return;
    };
    let Phase::Open { primary } = owned.phase else { return };
    let Some(quiescent_at_us) = quiescent_at_us else {
        if now_us < deadline_us {
            tables.timers.owned.set_if_earlier(database, deadline_us);
        } else {
            // The promotion rolls back transactions that are still open at the deadline.
            record_quiescence(tables, database, tables.owned[&database].epoch);
        }
        return;
    };
    if has_caught_up(owned, target, primary, quiescent_at_us) {
        owned.switchover_target = Some(target);
        owned.begin_next_term(owned.term, now_us);
        tables.view_changed = true;
        tables.mark_due(database);
    } else if now_us < deadline_us {
        tables.timers.owned.set_if_earlier(database, deadline_us);
    } else {
        owned.transfer = None;
        tables.view_changed = true;
        let reason = "the instance did not reach the primary's position";
        tables.log(StateChange::SwitchoverAbandoned { database, reason });
    }
}

/// Whether the target has the primary's position, according to reports of calls that were sent
/// after the database became quiescent.
fn has_caught_up(owned: &OwnedDatabase, target: u8, primary: u8, since_us: u64) -> bool {
    let position = |index: u8| {
        let state = &owned.instances[usize::from(index)];
        let is_recent = state.is_responsive() && state.report_sent_us >= since_us;
        state.report.filter(|_| is_recent).map(|report| report.position)
    };
    position(primary).is_some_and(|primary| position(target) >= Some(primary))
}
