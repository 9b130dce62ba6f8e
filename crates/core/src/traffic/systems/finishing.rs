//! Owner side: ends of requests and transactions.

use crate::message::{Outcome, TrafficMessage};
use crate::traffic::connection::ConnectionState;
use crate::traffic::tables::Tables;
use crate::traffic::work::{Work, WorkState};
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
    let message = TrafficMessage::Answer {
        database: work.request.database,
        entry_thread: work.request.entry_thread,
        request: work.request.request,
        outcome,
    };
    tables.send(work.origin, message);
}

/// Ends a request that no backend server has answered to the caller's use. Its transaction ends too: it
/// cannot go on without one of its statements.
pub(super) fn refuse<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    code: ResultCode,
) {
    let transaction = tables.works.get(key).and_then(transaction_of);
    finish(tables, key, Outcome::Refused { code });
    if let Some(transaction) = transaction {
        abort_transaction(tables, transaction);
    }
}

/// Ends a request without a word to anybody. What runs for it is abandoned with its connection.
pub(super) fn discard<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = remove(tables, key) else { return };
    if let WorkState::Running { connection, .. } = work.state {
        connecting::close(tables, connection);
    }
}

/// The transaction that a request belongs to or has opened.
fn transaction_of(work: &Work) -> Option<TransactionKey> {
    match &work.state {
        WorkState::AwaitingConfirmation(held) => held.transaction,
        _ => work.request.transaction,
    }
}

fn remove<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) -> Option<Work> {
    let work = tables.works.remove(key)?;
    tables.work_deadlines.remove(work.deadline_us, key);
    let index_key = (work.origin, work.request.entry_thread, work.request.request);
    if tables.work_index.get(&index_key) == Some(&key) {
        tables.work_index.remove(&index_key);
    }
    let is_active =
        matches!(work.state, WorkState::Running { .. } | WorkState::AwaitingConfirmation(_));
    if let Some(database) = tables.databases.get_mut(&work.request.database) {
        database.active -= u32::from(is_active);
    }
    Some(work)
}

/// Rolls a transaction back. A running statement of it is abandoned with its connection; otherwise the
/// connection is reset.
pub(super) fn abort_transaction<P: DispatchPolicy>(tables: &mut Tables<P>, key: TransactionKey) {
    let Some(connection_key) = forget_transaction(tables, key) else { return };
    for work in tables.works.keys_where(|work| work.request.transaction == Some(key)) {
        let code = tables.works.get(work).map_or(ResultCode::TransactionLost, code_of_aborted);
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

/// Result of a statement whose transaction is rolled back from outside. A statement that may commit and
/// has begun to run can win the race against the rollback.
fn code_of_aborted(work: &Work) -> ResultCode {
    let may_commit =
        matches!(work.request.kind, StatementKind::EndTransaction | StatementKind::Other);
    match work.state {
        WorkState::Running { .. } if may_commit => ResultCode::BackendLost,
        WorkState::AwaitingConfirmation(_) if may_commit => ResultCode::Unconfirmed,
        _ => ResultCode::TransactionLost,
    }
}

/// Removes a transaction from the table and frees its connection of it.
pub(super) fn forget_transaction<P>(
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

/// Stops the idle timer of a transaction.
pub(super) fn stop_idle_timer<P>(tables: &mut Tables<P>, key: TransactionKey) {
    let Some(transaction) = tables.transactions.get_mut(key) else { return };
    if let Some(deadline_us) = transaction.idle_deadline_us.take() {
        tables.transaction_deadlines.remove(deadline_us, key);
    }
}

/// Starts the idle timer of a transaction.
pub(super) fn start_idle_timer<P>(tables: &mut Tables<P>, key: TransactionKey) {
    stop_idle_timer(tables, key);
    let Some(transaction) = tables.transactions.get_mut(key) else { return };
    let Some(database) = tables.databases.get(&transaction.database) else { return };
    let deadline_us = tables.now_us + database.service.idle_transaction_us;
    transaction.idle_deadline_us = Some(deadline_us);
    tables.transaction_deadlines.insert(deadline_us, key);
}
