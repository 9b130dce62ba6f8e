//! Hands over all owned databases when the process is asked to shut down.

use crate::DatabaseId;
use crate::control::tables::{Tables, Transfer};
use crate::control::{Action, StateChange};

pub(crate) fn run(tables: &mut Tables) {
    if core::mem::take(&mut tables.inputs.drain_requested) && !tables.draining {
        start(tables);
    }
    if !tables.draining || tables.drain_finished {
        return;
    }
    for database in tables.due_owned.clone() {
        start_handover(tables, database);
    }
    if tables.owned.is_empty() {
        tables.drain_finished = true;
        tables.actions.push(Action::DrainFinished);
    }
}

fn start(tables: &mut Tables) {
    tables.draining = true;
    tables.view_changed = true;
    tables.timers.heartbeat.set((), tables.now_us);
    tables.due_owned = tables.owned.keys().copied().collect();
}

/// Starts the handover of a database once it has an eligible standby; until then it keeps serving.
/// If no host is eligible, the handover starts without one, and the ownership is released once the
/// database is quiescent or the deadline has passed.
fn start_handover(tables: &mut Tables, database: DatabaseId) {
    let deadline_us = tables.now_us + tables.config.handover_timeout_us;
    let has_successor = tables.hosts.first_eligible(database).is_some();
    let Some(owned) = tables.owned.get_mut(&database) else { return };
    let has_standby = owned.standby.is_some_and(|s| tables.hosts.is_eligible(s.host));
    let is_started = matches!(owned.transfer, Some(Transfer::Handover { .. }));
    if has_successor && !has_standby || is_started {
        return;
    }
    owned.transfer = Some(Transfer::Handover { deadline_us, quiescent: false, next_offer_us: 0 });
    tables.view_changed = true;
    tables.log(StateChange::TransferStarted { database, change: "handover" });
}
