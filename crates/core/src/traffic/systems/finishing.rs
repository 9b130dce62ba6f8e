//! Owner side: completion of requests and transactions.

use crate::message::{Outcome, TrafficMessage};
use crate::traffic::connection::ConnectionState;
use crate::traffic::tables::Tables;
use crate::traffic::work_item::{WorkItem, WorkItemState};
use crate::traffic::{Action, DispatchPolicy};
use crate::{ConnectionKey, ResultCode, StatementKind, TransactionKey, WorkItemKey};

use super::connecting;

/// Ends a request and reports its outcome to the entry proxy.
pub(super) fn finish<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    outcome: Outcome,
) {
    let Some(work) = remove(tables, key) else { return };
    let message = TrafficMessage::Outcome {
        database: work.request.database,
        entry_thread: work.request.entry_thread,
        request: work.request.request,
        outcome,
    };
    tables.send(work.origin, message);
}

/// Ends a request with a result code instead of a response. Its transaction is rolled back because
/// it cannot continue without one of its statements.
pub(super) fn refuse<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    code: ResultCode,
) {
    let transaction = tables.work_items.get(key).and_then(transaction_of);
    finish(tables, key, Outcome::Refused { code });
    if let Some(transaction) = transaction {
        abort_transaction(tables, transaction);
    }
}

/// Ends a request without reporting an outcome. If it is running, its connection is closed.
pub(super) fn discard<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = remove(tables, key) else { return };
    if let WorkItemState::Running { connection, .. } = work.state {
        connecting::close(tables, connection);
    }
}

/// The transaction that a request belongs to or has started.
fn transaction_of(work: &WorkItem) -> Option<TransactionKey> {
    match &work.state {
        WorkItemState::AwaitingConfirmation(held) => held.transaction,
        _ => work.request.transaction,
    }
}

fn remove<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) -> Option<WorkItem> {
    let work = tables.work_items.remove(key)?;
    tables.work_deadlines.remove(work.deadline_us, key);
    let index_key = (work.origin, work.request.entry_thread, work.request.request);
    if tables.work_index.get(&index_key) == Some(&key) {
        tables.work_index.remove(&index_key);
    }
    let is_active = matches!(
        work.state,
        WorkItemState::Running { .. } | WorkItemState::AwaitingConfirmation(_)
    );
    if let Some(database) = tables.databases.get_mut(&work.request.database) {
        database.active_requests -= u32::from(is_active);
    }
    Some(work)
}

/// Rolls back a transaction. If one of its statements is running, the statement is cancelled and
/// the connection closed; otherwise the connection is reset.
pub(super) fn abort_transaction<P: DispatchPolicy>(tables: &mut Tables<P>, key: TransactionKey) {
    let Some(connection_key) = remove_transaction(tables, key) else { return };
    for work in tables.work_items.keys_where(|work| work.request.transaction == Some(key)) {
        let code = tables.work_items.get(work).map_or(ResultCode::TransactionLost, code_of_aborted);
        finish(tables, work, Outcome::Refused { code });
    }
    let Some(connection) = tables.connections.get(connection_key) else { return };
    match connection.state {
        ConnectionState::Running(_) => {
            tables.actions.push(Action::CancelConnection { connection: connection_key });
            connecting::close(tables, connection_key);
        }
        _ => connecting::reset(tables, connection_key),
    }
}

/// Result code of a statement whose transaction is rolled back by the proxy. A statement that may
/// commit can complete before the rollback if it is already running, so its outcome is unknown.
fn code_of_aborted(work: &WorkItem) -> ResultCode {
    let may_commit =
        matches!(work.request.kind, StatementKind::EndTransaction | StatementKind::Other);
    match work.state {
        WorkItemState::Running { .. } if may_commit => ResultCode::BackendLost,
        WorkItemState::AwaitingConfirmation(_) if may_commit => ResultCode::Unconfirmed,
        _ => ResultCode::TransactionLost,
    }
}

/// Removes a transaction from the table and detaches it from its connection, which it returns.
pub(super) fn remove_transaction<P>(
    tables: &mut Tables<P>,
    key: TransactionKey,
) -> Option<ConnectionKey> {
    stop_idle_timer(tables, key);
    let transaction = tables.transactions.remove(key)?;
    if let Some(connection) = tables.connections.get_mut(transaction.connection) {
        connection.transaction = None;
    }
    if let Some(database) = tables.databases.get_mut(&transaction.database) {
        database.transactions -= 1;
    }
    Some(transaction.connection)
}

/// Stops the idle timer of a transaction if it is running.
pub(super) fn stop_idle_timer<P>(tables: &mut Tables<P>, key: TransactionKey) {
    let Some(transaction) = tables.transactions.get_mut(key) else { return };
    if let Some(deadline_us) = transaction.idle_deadline_us.take() {
        tables.transaction_deadlines.remove(deadline_us, key);
    }
}

/// Starts or restarts the idle timer of a transaction.
pub(super) fn start_idle_timer<P>(tables: &mut Tables<P>, key: TransactionKey) {
    stop_idle_timer(tables, key);
    let Some(transaction) = tables.transactions.get_mut(key) else { return };
    let Some(database) = tables.databases.get(&transaction.database) else { return };
    let deadline_us = tables.now_us + database.service.idle_transaction_us;
    transaction.idle_deadline_us = Some(deadline_us);
    tables.transaction_deadlines.insert(deadline_us, key);
}
