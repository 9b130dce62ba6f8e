//! Handles the loss of connections.

use super::super::Response;
use super::super::connection::{Connection, ConnectionState, Outstanding};
use super::super::request::{Request, Stage};
use super::super::session::Transaction;
use super::super::tables::Tables;
use super::super::{Action, DecisionKind, Report, ResponseOutcome, Statement};
use super::{completion, connections, instance_calls, refusals};
use crate::{ConnectionKey, ErrorCode, InstanceCallOutcome, InstanceKey, SessionKey};
use flamingorock_core::TransactionStatus;

/// Handles a connection that broke, was closed by the instance, or could not be established.
pub fn handle_loss(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    let Some(connection) = tables.remove_connection(key) else { return };
    let instance = connection.instance;
    match connection.state {
        ConnectionState::Ready => {
            connections::suspect(tables, instance, now_us);
            connections::open(tables, instance, now_us);
        }
        // TCP was established, so the instance is alive but accepts no more connections.
        ConnectionState::Starting => connections::mark_exhausted(tables, instance, now_us),
        ConnectionState::Connecting => {
            connections::record_connect_failure(tables, instance, now_us);
        }
    }
    end_outstanding(tables, key, connection, "the connection to the instance was lost", now_us);
}

/// Closes a connection that timed out or returned an unexpected error, and ends the request on it.
pub fn close_failed(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    close(tables, key, "the connection to the instance does not answer", now_us);
}

/// Closes a connection and ends the request on it.
pub fn close(tables: &mut Tables, key: ConnectionKey, reason: &'static str, now_us: u64) {
    let Some(connection) = tables.remove_connection(key) else { return };
    tables.actions.push(Action::CloseConnection { connection: key });
    end_outstanding(tables, key, connection, reason, now_us);
}

fn end_outstanding(
    tables: &mut Tables,
    key: ConnectionKey,
    connection: Connection,
    reason: &'static str,
    now_us: u64,
) {
    for (_, outstanding) in &connection.outstanding {
        if let Outstanding::InstanceCall(call) = outstanding {
            instance_calls::finish(tables, call.clone(), InstanceCallOutcome::Unreachable);
        }
    }
    if let Some(session) = connection.session {
        finish_request(tables, session, key, connection.instance, reason, now_us);
    }
}

/// What happens to a session whose connection was lost.
enum LossOutcome {
    /// No request was outstanding. The transaction is rolled back, and the caller learns of it from
    /// the reply to its next statement.
    NotifyLater,
    /// The request had no effect and is sent again.
    Retry,
    /// The caller asked for a rollback, which the loss of the connection has brought about.
    RolledBack,
    /// The request ends with an error, and this becomes the session's transaction state.
    Fail(ErrorCode, Transaction),
}

fn loss_outcome(
    request: Option<&Request>,
    transaction: &Transaction,
    key: ConnectionKey,
) -> LossOutcome {
    let Some(request) = request else { return LossOutcome::NotifyLater };
    let is_sent = request.stage == Stage::Running { connection: key };
    match (transaction, &request.query.statement) {
        (Transaction::Open { .. }, Statement::Rollback) => LossOutcome::RolledBack,
        (Transaction::Open { has_written: true, .. }, Statement::Commit) if is_sent => {
            LossOutcome::Fail(ErrorCode::InDoubt, Transaction::None)
        }
        (Transaction::Open { .. }, Statement::Commit) => {
            LossOutcome::Fail(ErrorCode::Aborted, Transaction::None)
        }
        (Transaction::Open { .. }, _) => LossOutcome::Fail(ErrorCode::Aborted, Transaction::Failed),
        (transaction, _) if is_sent && request.is_write => {
            LossOutcome::Fail(ErrorCode::InDoubt, transaction.clone())
        }
        _ => LossOutcome::Retry,
    }
}

fn finish_request(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    instance: InstanceKey,
    reason: &'static str,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    match loss_outcome(session.request.as_ref(), &session.transaction, connection) {
        LossOutcome::NotifyLater => {
            session.transaction = Transaction::Aborted;
            session.idle_deadline_us = None;
        }
        LossOutcome::Retry => refusals::retry(tables, key, Some(instance), reason, now_us),
        LossOutcome::RolledBack => {
            session.transaction = Transaction::None;
            let response = Response {
                rows: Vec::new(),
                outcome: ResponseOutcome::Complete { signature: bytes::Bytes::from_static(b"-") },
                status: TransactionStatus::Idle,
                position: None,
                instance_status: None,
            };
            completion::deliver_response(tables, key, response, false, now_us);
        }
        LossOutcome::Fail(code, transaction) => {
            session.transaction = transaction;
            completion::fail_request(tables, key, Some(instance), code, reason, None, now_us);
        }
    }
}

/// Reports that a primary cannot be reached. Does nothing for other instances.
pub fn report_primary_unreachable(tables: &mut Tables, key: InstanceKey) {
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    if set.primary != Some(key) {
        return;
    }
    let Some(since_us) = instance.suspected_since_us else { return };
    tables.reports.push(Report::PrimaryUnreachable {
        replica_set: set.name.clone(),
        instance: instance.id.clone(),
        since_us,
    });
}

/// Aborts requests that depend on a primary that is being replaced, because its results may no
/// longer be passed on.
pub fn abort_primary_requests(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let reason = "the primary is being replaced";
    for connection in instance.connections.clone() {
        let Some(row) = tables.connections.get(connection) else { continue };
        let Some(session) = row.session else { continue };
        if depends_on_primary(tables, session) {
            tables.log_decision(DecisionKind::Failed, session, Some(key), None, reason, now_us);
            close(tables, connection, reason, now_us);
        }
    }
}

/// Whether a session's use of its connection is valid only at the primary.
fn depends_on_primary(tables: &Tables, key: SessionKey) -> bool {
    let Some(session) = tables.sessions.get(key) else { return false };
    match (&session.transaction, &session.request) {
        (Transaction::Open { read_only: false, .. }, _) => true,
        (_, Some(request)) => request.min_position.is_none(),
        _ => false,
    }
}
