//! Loss of connections.

use super::super::Response;
use super::super::connection::{Connection, ConnectionState, Outstanding};
use super::super::request::{Request, Stage};
use super::super::session::Transaction;
use super::super::tables::Tables;
use super::super::{Action, DecisionKind, Report, ResponseOutcome, Statement};
use super::{connections, ending, group_calls, refusals};
use crate::{ConnectionKey, ErrorCode, InstanceCallOutcome, InstanceKey, SessionKey};
use flamingorock_core::TransactionStatus;

/// A connection is broken, closed by the instance, or could not be established.
pub fn lose(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    let Some(connection) = tables.drop_connection(key) else { return };
    let instance = connection.instance;
    match connection.state {
        ConnectionState::Ready => {
            connections::suspect(tables, instance, now_us);
            connections::open(tables, instance, now_us);
        }
        // The host has taken the connection: the instance lives, but takes no more of them.
        ConnectionState::Starting => connections::back_off(tables, instance, now_us),
        ConnectionState::Connecting => {
            connections::note_start_failure(tables, instance, now_us);
        }
    }
    finish_work(tables, key, connection, "the connection to the instance was lost", now_us);
}

/// Closes a connection that does not work and ends what runs on it.
pub fn lose_and_close(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    close(tables, key, "the connection to the instance does not answer", now_us);
}

/// Closes a connection and ends what runs on it.
pub fn close(tables: &mut Tables, key: ConnectionKey, reason: &'static str, now_us: u64) {
    let Some(connection) = tables.drop_connection(key) else { return };
    tables.actions.push(Action::CloseConnection { connection: key });
    finish_work(tables, key, connection, reason, now_us);
}

fn finish_work(
    tables: &mut Tables,
    key: ConnectionKey,
    connection: Connection,
    reason: &'static str,
    now_us: u64,
) {
    for (_, outstanding) in &connection.outstanding {
        if let Outstanding::Group(call) = outstanding {
            group_calls::end(tables, call.clone(), InstanceCallOutcome::Unreachable);
        }
    }
    if let Some(session) = connection.session {
        finish_session(tables, session, key, connection.instance, reason, now_us);
    }
}

/// What becomes of a request whose connection is gone.
enum Next {
    /// Nothing was asked: the caller learns with its next statement.
    Wait,
    /// It left nothing behind and is sent again.
    Retry,
    /// The rollback that was asked for has happened with the close.
    RolledBack,
    /// It ends with an error; the transaction goes on as failed or is over.
    Fail(ErrorCode, Transaction),
}

fn next(request: Option<&Request>, transaction: &Transaction, key: ConnectionKey) -> Next {
    let Some(request) = request else { return Next::Wait };
    let is_sent = request.stage == Stage::Running { connection: key };
    match (transaction, &request.query.statement) {
        (Transaction::Open { .. }, Statement::Rollback) => Next::RolledBack,
        (Transaction::Open { has_written: true, .. }, Statement::Commit) if is_sent => {
            Next::Fail(ErrorCode::InDoubt, Transaction::None)
        }
        (Transaction::Open { .. }, Statement::Commit) => {
            Next::Fail(ErrorCode::Aborted, Transaction::None)
        }
        (Transaction::Open { .. }, _) => Next::Fail(ErrorCode::Aborted, Transaction::Failed),
        (transaction, _) if is_sent && request.writes => {
            Next::Fail(ErrorCode::InDoubt, transaction.clone())
        }
        _ => Next::Retry,
    }
}

fn finish_session(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    instance: InstanceKey,
    reason: &'static str,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    match next(session.request.as_ref(), &session.transaction, connection) {
        Next::Wait => {
            session.transaction = Transaction::Aborted;
            session.idle_deadline_us = None;
        }
        Next::Retry => refusals::retry(tables, key, Some(instance), reason, now_us),
        Next::RolledBack => {
            session.transaction = Transaction::None;
            let response = Response {
                rows: Vec::new(),
                outcome: ResponseOutcome::Complete { signature: bytes::Bytes::from_static(b"-") },
                status: TransactionStatus::Idle,
                position: None,
                instance_status: None,
            };
            ending::deliver(tables, key, response, false, now_us);
        }
        Next::Fail(code, transaction) => {
            session.transaction = transaction;
            ending::fail(tables, key, Some(instance), code, reason, None, now_us);
        }
    }
}

/// Reports that a primary cannot be reached.
pub fn report_lost(tables: &mut Tables, key: InstanceKey) {
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    if set.primary != Some(key) {
        return;
    }
    let Some(since_us) = instance.suspect_since_us else { return };
    tables.reports.push(Report::PrimaryUnreachable {
        replica_set: set.name.clone(),
        instance: instance.id.clone(),
        since_us,
    });
}

/// Ends what runs at a primary that is being replaced, because its answers can no longer be passed
/// on.
pub fn clear_primary(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let reason = "the primary is being replaced";
    for connection in instance.connections.clone() {
        let Some(row) = tables.connections.get(connection) else { continue };
        let Some(session) = row.session else { continue };
        if needs_primary(tables, session) {
            tables.decide(DecisionKind::Failed, session, Some(key), None, reason, now_us);
            close(tables, connection, reason, now_us);
        }
    }
}

/// Whether what a session does on its connection rests on the primary.
fn needs_primary(tables: &Tables, key: SessionKey) -> bool {
    let Some(session) = tables.sessions.get(key) else { return false };
    match (&session.transaction, &session.request) {
        (Transaction::Open { read_only: false, .. }, _) => true,
        (_, Some(request)) => request.min_position.is_none(),
        _ => false,
    }
}
