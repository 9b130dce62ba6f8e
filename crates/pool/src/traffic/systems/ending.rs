//! Ends of requests and transactions.

use bytes::Bytes;
use flamingorock_core::TransactionStatus;

use super::super::connection::Outstanding;
use super::super::request::Stage;
use super::super::session::Transaction;
use super::super::tables::{Due, Tables};
use super::super::{
    Action, Command, Decision, DecisionKind, MetricEvent, Query, Reply, ReplyOutcome, Response,
    ResponseOutcome,
};
use super::sessions;
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// Passes an instance's answer to the caller and ends the request.
pub fn deliver(
    tables: &mut Tables,
    key: SessionKey,
    response: Response,
    by_primary: bool,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = session.request.take() else { return };
    let latency_us = now_us.saturating_sub(request.arrived_us);
    let outcome = match response.outcome {
        ResponseOutcome::Complete { signature } => {
            let database = session.database.clone();
            tables.metric_events.push(MetricEvent::Served { database, by_primary, latency_us });
            ReplyOutcome::Complete { signature: Some(signature) }
        }
        ResponseOutcome::Error { code, text } => {
            let database = session.database.clone();
            tables.metric_events.push(MetricEvent::Failed { database, code });
            ReplyOutcome::Error { code, text, retry_after_ms: None }
        }
    };
    let reply = Reply {
        rows: response.rows,
        outcome,
        status: session.status(),
        position: response.position,
    };
    tables.actions.push(Action::Reply { session: key, reply });
    restart_idle_deadline(tables, key, now_us);
    sessions::serve_backlog(tables, key, now_us);
}

/// Ends the request with an error of this proxy. The caller of this function has set the session's
/// transaction state.
pub fn fail(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    reason: &'static str,
    retry_after_ms: Option<u32>,
    now_us: u64,
) {
    let kind = match code {
        ErrorCode::Busy => DecisionKind::Refused,
        _ => DecisionKind::Failed,
    };
    tables.decide(kind, key, instance, Some(code), reason, now_us);
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if session.request.take().is_none() {
        return;
    }
    let database = session.database.clone();
    tables.metric_events.push(MetricEvent::Failed { database, code });
    let outcome =
        ReplyOutcome::Error { code, text: Bytes::from_static(reason.as_bytes()), retry_after_ms };
    let reply = Reply { rows: Vec::new(), outcome, status: session.status(), position: None };
    tables.actions.push(Action::Reply { session: key, reply });
    sessions::serve_backlog(tables, key, now_us);
}

/// Restarts the time after which an idle open transaction is rolled back.
pub fn restart_idle_deadline(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let idle_us = tables.view.configuration.idle_transaction_us;
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if matches!(session.transaction, Transaction::Open { .. }) && session.request.is_none() {
        session.idle_deadline_us = Some(now_us + idle_us);
        tables.due.add(now_us + idle_us, Due::Session(key));
    }
}

/// Returns a connection to its instance's pool. It must have no transaction open.
pub fn release(tables: &mut Tables, connection: ConnectionKey) {
    if let Some(row) = tables.connections.get_mut(connection) {
        row.session = None;
    }
}

/// Closes a connection that must not be used again, such as one with an answer outstanding that
/// nobody waits for.
pub fn discard(tables: &mut Tables, connection: ConnectionKey) {
    release(tables, connection);
    if tables.drop_connection(connection).is_some() {
        tables.actions.push(Action::CloseConnection { connection });
    }
}

/// Rolls back at the instance and returns the connection once that is answered. A connection with an
/// answer outstanding is closed instead, which rolls back too.
pub fn roll_back(tables: &mut Tables, connection: ConnectionKey, now_us: u64) {
    let Some(row) = tables.connections.get(connection) else { return };
    if !row.outstanding.is_empty() {
        return discard(tables, connection);
    }
    release(tables, connection);
    tables.send(connection, Outstanding::Rollback, Command::Rollback, now_us);
}

/// Takes the session's open transaction from its connection and rolls it back. The caller is told
/// with its next statement, unless the caller of this function tells it now.
pub fn detach(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let pinned = session.pinned();
    if pinned.is_some() {
        session.transaction = Transaction::Aborted;
        session.idle_deadline_us = None;
    }
    if let Some(connection) = pinned {
        roll_back(tables, connection, now_us);
    }
}

/// Frees everything that a session holds, because its caller has left or is about to be told so.
pub fn abandon(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let stage = session.request.take().map(|request| request.stage);
    for (_, set) in tables.replica_sets.iter_mut() {
        set.waiting.retain(|waiting| *waiting != key);
    }
    detach(tables, key, now_us);
    match stage {
        Some(
            Stage::Syncing { connection }
            | Stage::Beginning { connection }
            | Stage::Running { connection },
        ) => discard(tables, connection),
        Some(Stage::Waiting | Stage::Resending { .. }) | None => {}
    }
}

/// Notes a statement that was answered with an error without an instance.
pub fn note_local_error(tables: &mut Tables, key: SessionKey, query: &Query, code: ErrorCode) {
    let Some(session) = tables.sessions.get(key) else { return };
    tables.decisions.push(Decision {
        kind: DecisionKind::Failed,
        request: query.id.clone(),
        database: session.database.clone(),
        instance: None,
        instance_id: Bytes::new(),
        age_us: 0,
        term: flamingorock_core::Term::default(),
        position: None,
        view: tables.view.sequence,
        code: Some(code),
        reason: "the statement cannot be served in this state of the session",
    });
}

/// Transaction state after an answer with this status.
pub fn is_open(status: TransactionStatus) -> bool {
    status == TransactionStatus::Open
}
