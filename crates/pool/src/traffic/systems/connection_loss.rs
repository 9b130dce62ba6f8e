//! Loss of connections.

use super::super::Response;
use super::super::connection::{Connection, ConnectionState, Outstanding};
use super::super::request::{Request, Stage};
use super::super::session::Transaction;
use super::super::tables::Tables;
use super::super::{Action, DecisionKind, Report, ResponseOutcome, Statement};
use super::{completion, connections, instance_calls, refusals};
use crate::{ConnectionKey, ErrorCode, GroupOutcome, InstanceKey, SessionKey};
use flamingorock_core::TransactionStatus;

/// A connection is broken, closed by the instance, or could not be established.
pub fn handle_loss(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    let Some(connection) = tables.remove_connection(key) else { return };
    let instance = connection.instance;
    match connection.state {
        ConnectionState::Ready => {
            connections::suspect(tables, instance, now_us);
            connections::open(tables, instance, now_us);
        }
        // The host has taken the connection: the instance lives, but takes no more of them.
        ConnectionState::Starting => connections::mark_exhausted(tables, instance, now_us),
        ConnectionState::Connecting => {
            connections::record_connect_failure(tables, instance, now_us);
        }
    }
    end_outstanding(tables, key, connection, "the connection to the instance was lost", now_us);
}

/// Closes a connection that does not work and ends what runs on it.
pub fn close_failed(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    close(tables, key, "the connection to the instance does not answer", now_us);
}

/// Closes a connection and ends what runs on it.
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
            instance_calls::finish(tables, call.clone(), GroupOutcome::Unreachable);
        }
    }
    if let Some(session) = connection.session {
        finish_request(tables, session, key, connection.instance, reason, now_us);
    }
}

/// What becomes of a request whose connection is gone.
enum LossOutcome {
    /// Nothing was asked: the caller learns with its next statement.
    NotifyLater,
    /// It left nothing behind and is sent again.
    Retry,
    /// The rollback that was asked for has happened with the close.
    RolledBack,
    /// It ends with an error; the transaction goes on as failed or is over.
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

/// Reports that a primary cannot be reached.
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

/// Ends what runs at a primary that is being replaced, because its answers can no longer be passed
/// on.
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

/// Whether what a session does on its connection rests on the primary.
fn depends_on_primary(tables: &Tables, key: SessionKey) -> bool {
    let Some(session) = tables.sessions.get(key) else { return false };
    match (&session.transaction, &session.request) {
        (Transaction::Open { read_only: false, .. }, _) => true,
        (_, Some(request)) => request.min_position.is_none(),
        _ => false,
    }
}
