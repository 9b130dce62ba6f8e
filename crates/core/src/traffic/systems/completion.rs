//! Owner side: answers of backend servers and losses of connections.

use bytes::Bytes;

use super::{connecting, finishing};
use crate::configuration::Durability;
use crate::message::Outcome;
use crate::traffic::connection::ConnectionState;
use crate::traffic::tables::Tables;
use crate::traffic::transaction::Transaction;
use crate::traffic::work::{HeldAnswer, Work, WorkState};
use crate::traffic::{ConnectionLoss, DispatchPolicy};
use crate::{
    ConnectionKey, InstanceId, Position, ResultCode, StatementKind, TransactionKey,
    TransactionStatus, WorkItemKey,
};

/// Least time that an answer waits for its confirmation before its outcome counts as unknown.
const CONFIRMATION_GRACE_US: u64 = 200_000;

/// The whole answer of a backend server.
pub(super) struct BackendAnswer {
    pub(super) answer: Bytes,
    pub(super) status: TransactionStatus,
    pub(super) failed: bool,
}

/// What must be known before an answer may leave.
enum Confirmation {
    /// Nothing; later reads of the session must include the position.
    None(Option<Position>),
    /// The term still stood when the backend server answered.
    Term,
    /// A majority has everything up to the answer.
    Replicated,
}

/// Takes the answer to a request. An answer to anything but what runs on the connection is late.
pub(super) fn record_answer<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    key: WorkItemKey,
    answer: BackendAnswer,
) {
    let Some(connection) = tables.connections.get(connection_key) else { return };
    if connection.state != ConnectionState::Running(key) {
        return;
    }
    // Settling may close the connection, so what it was connected to is noted before.
    let instance = connection.instance;
    let Some(work) = tables.works.get(key).cloned() else { return };
    let WorkState::Running { started_us, cancelled, .. } = work.state else { return };
    record_service_time(tables, instance, &work, started_us);
    let wrote_before = wrote_in_transaction(tables, &work);
    let transaction = settle_connection(tables, connection_key, &work, answer.status);
    if cancelled && answer.failed {
        // The deadline has passed; the backend server has rolled the statement back.
        finishing::refuse(tables, key, ResultCode::StatementTimeout);
        if let Some(transaction) = transaction {
            finishing::abort_transaction(tables, transaction);
        }
        return;
    }
    match required_confirmation(tables, instance, &work, &answer, wrote_before) {
        Confirmation::None(min_position) => {
            let BackendAnswer { answer, status, .. } = answer;
            let by_replica = !is_primary(tables, instance);
            let outcome =
                Outcome::Answered { answer, status, transaction, min_position, by_replica };
            if let Some(transaction) = transaction {
                finishing::start_idle_timer(tables, transaction);
            }
            finishing::finish(tables, key, outcome);
        }
        Confirmation::Term => hold(tables, key, answer, transaction, false),
        Confirmation::Replicated => hold(tables, key, answer, transaction, true),
    }
}

/// Decides what an answer must wait for.
fn required_confirmation<P: DispatchPolicy>(
    tables: &Tables<P>,
    instance: InstanceId,
    work: &Work,
    answer: &BackendAnswer,
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
    if answer.status != TransactionStatus::Idle {
        // The begin of a transaction is confirmed, so that its reads do not come from a superseded
        // primary. Statements within it promise nothing until the commit.
        return if in_transaction { Confirmation::None(None) } else { Confirmation::Term };
    }
    match work.request.kind {
        StatementKind::Read | StatementKind::Write | StatementKind::Begin if answer.failed => {
            Confirmation::None(None)
        }
        StatementKind::Read => {
            let young_enough = database
                .confirmed_until_us
                .is_some_and(|until_us| tables.now_us - until_us <= work.request.max_staleness_us);
            let stale_allowed = work.request.min_position.is_some() && young_enough;
            if stale_allowed { Confirmation::None(None) } else { Confirmation::Term }
        }
        StatementKind::EndTransaction if !wrote_before => Confirmation::Term,
        _ if database.service.durability == Durability::Primary => Confirmation::Term,
        _ => Confirmation::Replicated,
    }
}

/// Keeps an answer back until probes confirm it.
fn hold<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    answer: BackendAnswer,
    transaction: Option<TransactionKey>,
    replicated: bool,
) {
    let Some(work) = tables.works.get_mut(key) else { return };
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    let answered_us = tables.now_us;
    let BackendAnswer { answer, status, .. } = answer;
    work.state = WorkState::AwaitingConfirmation(HeldAnswer {
        answered_us,
        answer,
        status,
        transaction,
        position: None,
    });
    // A statement that ended just before its deadline still gets the time of a confirmation, so that
    // its outcome is not reported as unknown while it can be known.
    let deadline_us = work.deadline_us.max(answered_us + CONFIRMATION_GRACE_US);
    tables.work_deadlines.remove(work.deadline_us, key);
    work.deadline_us = deadline_us;
    tables.work_deadlines.insert(deadline_us, key);
    database.newest_wait_us = answered_us;
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
    work: &Work,
    started_us: u64,
) {
    let on_primary = is_primary(tables, instance);
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    let lane = if on_primary { &mut database.primary_lane } else { &mut database.replica_lane };
    lane.record_service_time(tables.now_us - started_us);
}

/// Whether the transaction that a request belongs to has run anything but reads before. Records that
/// it has from now on, if the request may write.
fn wrote_in_transaction<P>(tables: &mut Tables<P>, work: &Work) -> bool {
    let transaction = work.request.transaction.and_then(|key| tables.transactions.get_mut(key));
    let Some(transaction) = transaction else { return true };
    let wrote_before = transaction.wrote;
    transaction.wrote |= !matches!(
        work.request.kind,
        StatementKind::Read | StatementKind::Begin | StatementKind::EndTransaction
    );
    wrote_before
}

/// Frees a connection after an answer, or leaves it with the transaction that is open on it.
fn settle_connection<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    work: &Work,
    status: TransactionStatus,
) -> Option<TransactionKey> {
    let connection = tables.connections.get_mut(connection_key)?;
    connection.state = ConnectionState::Idle;
    connection.needs_reset |= work.request.kind == StatementKind::Other;
    let (instance, held_by) = (connection.instance, connection.transaction);
    if let Some(database) = tables.databases.get_mut(&instance.database) {
        database.instances[usize::from(instance.index)].running -= 1;
    }
    match (status, held_by) {
        (TransactionStatus::Idle, held_by) => {
            if let Some(transaction) = held_by {
                finishing::forget_transaction(tables, transaction);
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
    work: &Work,
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

/// Handles a connection that was lost or could not be opened.
pub(super) fn record_loss<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    connection_key: ConnectionKey,
    reason: ConnectionLoss,
) {
    let Some(connection) = tables.connections.get(connection_key) else { return };
    let (state, transaction) = (connection.state, connection.transaction);
    connecting::forget(tables, connection_key, state == ConnectionState::Opening);
    if let ConnectionState::Running(work) = state {
        lose_running(tables, work, reason);
    }
    if let Some(transaction) = transaction {
        finishing::abort_transaction(tables, transaction);
    }
}

/// What to do with a request whose connection was lost while it ran.
enum LossStep {
    Retry,
    Refuse(ResultCode),
}

/// Ends or retries a request whose connection was lost while it ran.
pub(super) fn lose_running<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    reason: ConnectionLoss,
) {
    match after_loss(tables, key, reason) {
        LossStep::Retry => requeue(tables, key),
        LossStep::Refuse(code) => finishing::refuse(tables, key, code),
    }
}

fn after_loss<P: DispatchPolicy>(
    tables: &mut Tables<P>,
    key: WorkItemKey,
    reason: ConnectionLoss,
) -> LossStep {
    let Some(work) = tables.works.get(key) else {
        return LossStep::Refuse(ResultCode::BackendLost);
    };
    let in_transaction = work.request.transaction.is_some();
    let kind = work.request.kind;
    let is_plain = matches!(kind, StatementKind::Read | StatementKind::Write);
    let too_large = reason == ConnectionLoss::AnswerTooLarge;
    match (too_large, in_transaction) {
        (true, true) if is_plain => LossStep::Refuse(ResultCode::AnswerTooLarge),
        (true, false) if kind == StatementKind::Read => {
            LossStep::Refuse(ResultCode::AnswerTooLarge)
        }
        (true, _) => LossStep::Refuse(ResultCode::LargeAnswerLost),
        (false, true) if is_plain || kind == StatementKind::Begin => {
            LossStep::Refuse(ResultCode::TransactionLost)
        }
        (false, false) if kind == StatementKind::Begin => {
            LossStep::Refuse(ResultCode::TransactionLost)
        }
        (false, false) if kind == StatementKind::Read && tables.retry_budget.try_take() => {
            LossStep::Retry
        }
        (false, _) => LossStep::Refuse(ResultCode::BackendLost),
    }
}

/// Queues a read again, for the primary. It may be repeated because it has no effect.
pub(super) fn requeue<P: DispatchPolicy>(tables: &mut Tables<P>, key: WorkItemKey) {
    let Some(work) = tables.works.get_mut(key) else { return };
    let Some(database) = tables.databases.get_mut(&work.request.database) else { return };
    let was_active =
        matches!(work.state, WorkState::Running { .. } | WorkState::AwaitingConfirmation(_));
    database.active -= u32::from(was_active);
    work.state = WorkState::Queued;
    database.primary_lane.push(usize::from(work.request.rank.0), key);
}
