//! Owner side: responses of backend servers and loss of connections.

use bytes::Bytes;

use super::{connecting, finishing};
use crate::configuration::Durability;
use crate::message::Outcome;
use crate::traffic::connection::ConnectionState;
use crate::traffic::tables::Tables;
use crate::traffic::transaction::Transaction;
use crate::traffic::work_item::{HeldResponse, WorkItem, WorkItemState};
use crate::traffic::{ConnectionLoss, DispatchPolicy};
use crate::{
    ConnectionKey, InstanceId, Position, ResultCode, StatementKind, TransactionKey,
    TransactionStatus, WorkItemKey,
};

/// Minimum time that a response waits for its confirmation before the outcome is reported as
/// unknown.
const CONFIRMATION_GRACE_US: u64 = 200_000;

/// The complete response of a backend server.
pub(super) struct BackendResponse {
    pub(super) response: Bytes,
    pub(super) status: TransactionStatus,
    pub(super) failed: bool,
}

/// What must be confirmed before a response is released.
enum Confirmation {
    /// Nothing. Later reads of the session must include the given position, if any.
    None(Option<Position>),
    /// That a majority still accepted the term when the backend server responded.
    Term,
    /// That a majority has replicated the log up to the response.
    Replicated,
}

/// Handles the response to a request. A response to anything but the statement that runs on the
/// connection is late and is ignored.
pub(super) fn record_response<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    key: WorkItemKey,
    response: BackendResponse,
) {
    let Some(connection) = tables.connections.get(connection_key) else { return };
    if connection.state != ConnectionState::Running(key) {
        return;
    }
    // Releasing the connection may close it, so its instance is read first.
    let instance = connection.instance;
    let Some(work) = tables.work_items.get(key).cloned() else { return };
    let WorkItemState::Running { started_us, cancelled, .. } = work.state else { return };
    record_service_time(tables, instance, &work, started_us);
    let wrote_before = wrote_in_transaction(tables, &work);
    let transaction = release_unless_in_transaction(tables, connection_key, &work, response.status);
    if cancelled && response.failed {
        // The statement was cancelled at its deadline, and the backend server has rolled it back.
        finishing::refuse(tables, key, ResultCode::StatementTimeout);
        if let Some(transaction) = transaction {
            finishing::abort_transaction(tables, transaction);
        }
        return;
    }
    match required_confirmation(tables, instance, &work, &response, wrote_before) {
        Confirmation::None(min_position) => {
            let BackendResponse { response, status, .. } = response;
            let by_replica = !is_primary(tables, instance);
            let outcome =
                Outcome::Completed { response, status, transaction, min_position, by_replica };
            if let Some(transaction) = transaction {
                finishing::start_idle_timer(tables, transaction);
            }
            finishing::finish(tables, key, outcome);
        }
        Confirmation::Term => hold_response(tables, key, response, transaction, false),
        Confirmation::Replicated => hold_response(tables, key, response, transaction, true),
    }
}

/// Determines which confirmation a response must wait for.
fn required_confirmation<P: DispatchPolicy>(
    tables: &Tables<P>,
    instance: InstanceId,
    work: &WorkItem,
    response: &BackendResponse,
    wrote_before: bool,
) -> Confirmation {
    let Some(database) = tables.databases.get(&instance.database) else {
        return Confirmation::Replicated;
    };
    let in_transaction = work.request.transaction.is_some();
    if !is_primary(tables, instance) {
        let position = database.position_of(usize::from(instance.index));
        return Confirmation::None(position);
    }
    if response.status != TransactionStatus::Idle {
        // The start of a transaction is confirmed so that its reads do not come from a superseded
        // primary. Later statements guarantee nothing before the commit and need no confirmation.
        return if in_transaction { Confirmation::None(None) } else { Confirmation::Term };
    }
    match work.request.kind {
        StatementKind::Read | StatementKind::Write | StatementKind::Begin if response.failed => {
            Confirmation::None(None)
        }
        StatementKind::Read => {
            let is_fresh_enough = database
                .confirmed_until_us
                .is_some_and(|until_us| tables.now_us - until_us <= work.request.max_staleness_us);
            let stale_allowed = work.request.min_position.is_some() && is_fresh_enough;
            if stale_allowed { Confirmation::None(None) } else { Confirmation::Term }
        }
        StatementKind::EndTransaction if !wrote_before => Confirmation::Term,
        _ if database.service.durability == Durability::Primary => Confirmation::Term,
        _ => Confirmation::Replicated,
    }
}

/// Holds a response until probes confirm it.
fn hold_response<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    response: BackendResponse,
    transaction: Option<TransactionKey>,
    replicated: bool,
) {
    let Some(work) = tables.work_items.get_mut(key) else { return };
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    let responded_us = tables.now_us;
    let BackendResponse { response, status, .. } = response;
    work.state = WorkItemState::AwaitingConfirmation(HeldResponse {
        responded_us,
        response,
        status,
        transaction,
        position: None,
    });
    // A statement that ended just before its deadline still gets time for a confirmation, so that
    // its outcome is not reported as unknown when it could be determined.
    let deadline_us = work.deadline_us.max(responded_us + CONFIRMATION_GRACE_US);
    tables.work_deadlines.remove(work.deadline_us, key);
    work.deadline_us = deadline_us;
    tables.work_deadlines.insert(deadline_us, key);
    database.newest_wait_us = responded_us;
    if replicated {
        database.awaiting_primary.push_back(key);
    } else {
        database.awaiting_term.push_back(key);
    }
}

fn is_primary<P: DispatchPolicy>(tables: &Tables<P>, instance: InstanceId) -> bool {
    let database = tables.databases.get(&instance.database);
    let primary_index = database.and_then(|database| database.served.primary_index);
    primary_index == Some(instance.index)
}

fn record_service_time<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    instance: InstanceId,
    work: &WorkItem,
    started_us: u64,
) {
    let on_primary = is_primary(tables, instance);
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    let queues =
        if on_primary { &mut database.primary_queues } else { &mut database.replica_queues };
    queues.record_service_time(tables.now_us - started_us);
}

/// Whether the request's transaction has run a statement that may write before this one; `true`
/// without a transaction. Marks the transaction if this request may write.
fn wrote_in_transaction<P>(tables: &mut Tables<P>, work: &WorkItem) -> bool {
    let transaction = work.request.transaction.and_then(|key| tables.transactions.get_mut(key));
    let Some(transaction) = transaction else { return true };
    let wrote_before = transaction.wrote;
    transaction.wrote |= !matches!(
        work.request.kind,
        StatementKind::Read | StatementKind::Begin | StatementKind::EndTransaction
    );
    wrote_before
}

/// Releases a connection after a response unless a transaction is open on it. Returns that
/// transaction.
fn release_unless_in_transaction<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    work: &WorkItem,
    status: TransactionStatus,
) -> Option<TransactionKey> {
    let connection = tables.connections.get_mut(connection_key)?;
    connection.state = ConnectionState::Idle;
    connection.needs_reset |= work.request.kind == StatementKind::Other;
    let (instance, held_by) = (connection.instance, connection.transaction);
    if let Some(database) = tables.databases.get_mut(&instance.database) {
        database.instances[usize::from(instance.index)].running_statements -= 1;
    }
    match (status, held_by) {
        (TransactionStatus::Idle, held_by) => {
            if let Some(transaction) = held_by {
                finishing::remove_transaction(tables, transaction);
            }
            connecting::release(tables, connection_key);
            None
        }
        (_, Some(transaction)) => Some(transaction),
        (_, None) => open_transaction(tables, connection_key, work),
    }
}

fn open_transaction<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    work: &WorkItem,
) -> Option<TransactionKey> {
    let key = tables.transactions.insert(Transaction {
        database: work.request.database,
        connection: connection_key,
        origin: work.origin,
        wrote: work.request.kind != StatementKind::Begin,
        idle_deadline_us: None,
    });
    tables.connections.get_mut(connection_key)?.transaction = Some(key);
    tables.databases.get_mut(&work.request.database)?.transactions += 1;
    Some(key)
}

/// Handles the loss of a connection or a failed attempt to open it.
pub(super) fn record_loss<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    reason: ConnectionLoss,
) {
    let Some(connection) = tables.connections.get(connection_key) else { return };
    let (state, transaction) = (connection.state, connection.transaction);
    connecting::remove(tables, connection_key, state == ConnectionState::Opening);
    if let ConnectionState::Running(work) = state {
        end_or_retry_after_loss(tables, work, reason);
    }
    if let Some(transaction) = transaction {
        finishing::abort_transaction(tables, transaction);
    }
}

/// What to do with a request whose connection was lost while it ran.
enum LossAction {
    Retry,
    Refuse(ResultCode),
}

/// Ends or retries a request whose connection was lost while it ran.
pub(super) fn end_or_retry_after_loss<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    reason: ConnectionLoss,
) {
    match loss_action(tables, key, reason) {
        LossAction::Retry => requeue(tables, key),
        LossAction::Refuse(code) => finishing::refuse(tables, key, code),
    }
}

fn loss_action<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    reason: ConnectionLoss,
) -> LossAction {
    let Some(work) = tables.work_items.get(key) else {
        return LossAction::Refuse(ResultCode::BackendLost);
    };
    let in_transaction = work.request.transaction.is_some();
    let kind = work.request.kind;
    let is_plain = matches!(kind, StatementKind::Read | StatementKind::Write);
    let too_large = reason == ConnectionLoss::AnswerTooLarge;
    match (too_large, in_transaction) {
        (true, true) if is_plain => LossAction::Refuse(ResultCode::AnswerTooLarge),
        (true, false) if kind == StatementKind::Read => {
            LossAction::Refuse(ResultCode::AnswerTooLarge)
        }
        (true, _) => LossAction::Refuse(ResultCode::LargeAnswerLost),
        (false, true) if is_plain || kind == StatementKind::Begin => {
            LossAction::Refuse(ResultCode::TransactionLost)
        }
        (false, false) if kind == StatementKind::Begin => {
            LossAction::Refuse(ResultCode::TransactionLost)
        }
        (false, false) if kind == StatementKind::Read && tables.retry_budget.try_take() => {
            LossAction::Retry
        }
        (false, _) => LossAction::Refuse(ResultCode::BackendLost),
    }
}

/// Queues a read again, on the primary. Reads can be retried because they have no effect.
pub(super) fn requeue<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.work_items.get_mut(key) else { return };
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    let was_active = matches!(
        work.state,
        WorkItemState::Running { .. } | WorkItemState::AwaitingConfirmation(_)
    );
    database.active_requests -= u32::from(was_active);
    work.state = WorkItemState::Queued;
    database.primary_queues.push(usize::from(work.request.rank.0), key);
}
