//! Completes requests, transactions and the use of connections.

use bytes::Bytes;
use flamingorock_core::TransactionStatus;

use super::super::connection::Outstanding;
use super::super::request::Stage;
use super::super::session::Transaction;
use super::super::tables::{Tables, Timer};
use super::super::{
    Action, Command, Decision, DecisionKind, MetricEvent, Query, Reply, ReplyOutcome, Response,
    ResponseOutcome,
};
use super::sessions;
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// Passes an instance's response to the caller and completes the request.
pub fn deliver_response(
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
    sessions::serve_next(tables, key, now_us);
}

/// Completes the request with an error from this proxy. The transaction state of the session must
/// have been updated before.
pub fn fail_request(
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
    tables.log_decision(kind, key, instance, Some(code), reason, now_us);
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
    sessions::serve_next(tables, key, now_us);
}

/// Restarts the timeout after which an idle open transaction is rolled back.
pub fn restart_idle_deadline(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let idle_us = tables.view.configuration.idle_transaction_us;
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if matches!(session.transaction, Transaction::Open { .. }) && session.request.is_none() {
        session.idle_deadline_us = Some(now_us + idle_us);
        tables.timers.add(now_us + idle_us, Timer::Session(key));
    }
}

/// Returns a connection to the instance's pool. It must have no open transaction.
pub fn release(tables: &mut Tables, connection: ConnectionKey) {
    if let Some(row) = tables.connections.get_mut(connection) {
        row.session = None;
    }
}

/// Closes a connection that must not be reused, for example because the response to an abandoned
/// command is outstanding. The session that used it is not notified.
pub fn discard(tables: &mut Tables, connection: ConnectionKey) {
    release(tables, connection);
    if tables.remove_connection(connection).is_some() {
        tables.actions.push(Action::CloseConnection { connection });
    }
}

/// Rolls back on a connection and returns it to the pool once the instance responds. If a response
/// is outstanding, the connection is closed instead, which rolls back as well.
pub fn roll_back(tables: &mut Tables, connection: ConnectionKey, now_us: u64) {
    let Some(row) = tables.connections.get(connection) else { return };
    if !row.outstanding.is_empty() {
        return discard(tables, connection);
    }
    release(tables, connection);
    tables.send(connection, Outstanding::Rollback, Command::Rollback, now_us);
}

/// Unpins the session's open transaction from its connection and rolls it back. The caller learns
/// of this from the reply to its next statement, unless the calling function replies now.
pub fn abort_transaction(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let pinned = session.pinned_connection();
    if pinned.is_some() {
        session.transaction = Transaction::Aborted;
        session.idle_deadline_us = None;
    }
    if let Some(connection) = pinned {
        roll_back(tables, connection, now_us);
    }
}

/// Releases everything that a session holds, because the caller left or the session is about to be
/// closed.
pub fn release_session(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let stage = session.request.take().map(|request| request.stage);
    for (_, set) in tables.replica_sets.iter_mut() {
        set.queue.retain(|queued| *queued != key);
    }
    abort_transaction(tables, key, now_us);
    match stage {
        Some(
            Stage::Syncing { connection }
            | Stage::Beginning { connection }
            | Stage::Running { connection },
        ) => discard(tables, connection),
        Some(Stage::Queued | Stage::BackingOff { .. }) | None => {}
    }
}

/// Records, for the log, a statement that the proxy itself replied to with an error.
pub fn log_local_error(tables: &mut Tables, key: SessionKey, query: &Query, code: ErrorCode) {
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

/// Whether an instance reports an open transaction that has not failed.
pub fn is_open(status: TransactionStatus) -> bool {
    status == TransactionStatus::Open
}
