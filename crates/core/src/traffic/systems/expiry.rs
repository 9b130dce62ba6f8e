//! Both sides: expiry of deadlines, and detection of pauses of the process.

use super::{connecting, finishing, owner_loss, probing};
use crate::traffic::DispatchPolicy;
use crate::traffic::entry_request::EntryState;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::WorkItemState;
use crate::{ConnectionKey, ResultCode, StatementKind, WorkItemKey};

/// Time that a backend server has to end a cancelled statement before the connection is closed.
const CANCEL_GRACE_US: u64 = 200_000;

/// Delay of a tick from which on the process is considered to have been paused.
const PAUSE_THRESHOLD_US: u64 = 200_000;

/// Maximum interval between ticks while there are requests or served databases, so that a late tick
/// reveals a pause.
const PAUSE_CHECK_US: u64 = 100_000;

/// Detects that the process was paused, from a tick that runs long after the requested time. Other
/// hosts may have taken over databases in the meantime, so nothing is dispatched until the term is
/// confirmed again.
pub(crate) fn detect_pause<P: DispatchPolicy>(tables: &mut Tables<P>, expected_us: Option<u64>) {
    let now_us = tables.now_us;
    if expected_us.is_none_or(|expected_us| now_us < expected_us + PAUSE_THRESHOLD_US) {
        return;
    }
    for database in tables.databases.values_mut() {
        database.resumed_us = Some(now_us);
        database.newest_wait_us = now_us;
    }
}

/// Handles all deadlines that have been reached.
pub(crate) fn expire<P: DispatchPolicy>(tables: &mut Tables<P>) {
    let now_us = tables.now_us;
    while let Some(key) = tables.route_retries.pop_due(now_us) {
        let state = tables.requests.get(key).map(|request| request.state);
        if matches!(state, Some(EntryState::AwaitingOwner { retry_us }) if retry_us <= now_us) {
            tables.unrouted.push(key);
        }
    }
    while let Some(key) = tables.request_deadlines.pop_due(now_us) {
        owner_loss::expire_request(tables, key);
    }
    while let Some(key) = tables.work_deadlines.pop_due(now_us) {
        expire_work(tables, key);
    }
    while let Some(key) = tables.transaction_deadlines.pop_due(now_us) {
        finishing::abort_transaction(tables, key);
        tables.record_idle_timeout(key);
    }
}

fn expire_work<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.work_items.get(key) else { return };
    let (kind, in_transaction) = (work.request.kind, work.request.transaction.is_some());
    match work.state {
        WorkItemState::AwaitingMinPosition => {
            finishing::refuse(tables, key, ResultCode::NoConfirmingReplica);
        }
        WorkItemState::Queued => {
            let database = tables.databases.get(&work.request.database);
            let primary = database.and_then(|database| database.primary());
            let code = match primary {
                None => ResultCode::NoPrimary,
                Some(primary) if primary.open_connections == primary.opening_connections => {
                    ResultCode::BackendUnavailable
                }
                Some(_) => ResultCode::QueueDeadline,
            };
            finishing::refuse(tables, key, code);
        }
        WorkItemState::Running { connection, cancelled: false, .. } => {
            cancel_running(tables, key, connection);
        }
        WorkItemState::Running { connection, cancelled: true, .. } => {
            connecting::close(tables, connection);
            finishing::refuse(tables, key, code_of_abandoned(kind, in_transaction));
        }
        WorkItemState::AwaitingConfirmation(_) => {
            finishing::refuse(tables, key, code_of_unconfirmed(kind));
        }
    }
}

fn cancel_running<P>(tables: &mut Tables<P>, key: WorkItemKey, connection: ConnectionKey) {
    let Some(work) = tables.work_items.get_mut(key) else { return };
    if let WorkItemState::Running { cancelled, .. } = &mut work.state {
        *cancelled = true;
    }
    work.deadline_us = tables.now_us + CANCEL_GRACE_US;
    tables.work_deadlines.insert(work.deadline_us, key);
    connecting::cancel(tables, connection);
}

/// Result code of a statement whose connection was closed because it did not end after its
/// cancellation.
fn code_of_abandoned(kind: StatementKind, in_transaction: bool) -> ResultCode {
    match (kind, in_transaction) {
        (StatementKind::Read | StatementKind::Begin, _) | (StatementKind::Write, true) => {
            ResultCode::StatementTimeout
        }
        _ => ResultCode::AbandonedRunning,
    }
}

/// Result code of a statement that ran but was not confirmed in time.
fn code_of_unconfirmed(kind: StatementKind) -> ResultCode {
    match kind {
        StatementKind::Read | StatementKind::Begin => ResultCode::StatementTimeout,
        _ => ResultCode::Unconfirmed,
    }
}

/// Earliest time at which the machine must be ticked without an event.
pub(crate) fn next_deadline_us<P: DispatchPolicy>(tables: &Tables<P>) -> Option<u64> {
    let indexed = [
        tables.route_retries.next_us(),
        tables.request_deadlines.next_us(),
        tables.work_deadlines.next_us(),
        tables.transaction_deadlines.next_us(),
    ];
    let of_instances = tables.databases.values().flat_map(|database| {
        database.instances.iter().enumerate().flat_map(|(index, instance)| {
            [
                probing::next_probe_us(database, index),
                connecting::next_attempt_us(&tables.view, instance, tables.now_us),
            ]
        })
    });
    // Pauses of the process are detected by late ticks, so ticks must be regular. Requests that
    // wait in sockets during a pause are not in the tables yet, so served databases without
    // requests count too.
    let is_serving = tables.databases.values().any(|database| database.primary().is_some());
    let pause_check =
        (is_serving || !tables.work_items.is_empty()).then_some(tables.now_us + PAUSE_CHECK_US);
    indexed.into_iter().chain(of_instances).chain([pause_check]).flatten().min()
}
