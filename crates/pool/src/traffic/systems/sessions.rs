//! Starts and ends sessions, and serves the statements that need no instance.

use bytes::Bytes;

use super::super::prepared::PreparedStatement;
use super::super::request::{Request, Routing, Stage};
use super::super::session::Transaction;
use super::super::tables::{Tables, Timer};
use super::super::{AccessMode, Action, MetricEvent, Query, Reply, ReplyOutcome, Statement};
use super::{completion, sending};
use crate::{ErrorCode, SessionKey};

/// Time that a session may wait for the first configuration. Callers give up after two seconds.
const START_TIMEOUT_US: u64 = 1_800_000;

pub fn start(tables: &mut Tables, key: SessionKey, database: Bytes, now_us: u64) {
    let has_expired_permit = tables.has_expired_permit(now_us);
    let Some(session) = tables.sessions.get_mut(key) else { return };
    session.database = database;
    if has_expired_permit {
        return refuse(tables, key, ErrorCode::Busy);
    }
    session.idle_deadline_us = Some(now_us + START_TIMEOUT_US);
    tables.timers.add(now_us + START_TIMEOUT_US, Timer::Session(key));
    accept(tables, key);
}

/// Accepts a session, or refuses it if its database does not exist. Before the first configuration
/// arrives, the session waits.
pub fn accept(tables: &mut Tables, key: SessionKey) {
    if tables.view.configuration.version == 0 {
        return;
    }
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if tables.databases.contains_key(&session.database) {
        session.is_accepted = true;
        session.idle_deadline_us = None;
        tables.actions.push(Action::Accept { session: key });
    } else {
        refuse(tables, key, ErrorCode::UnknownDatabase);
    }
}

/// Refuses a session that has not been accepted.
pub fn refuse(tables: &mut Tables, key: SessionKey, code: ErrorCode) {
    const RETRY_AFTER_MS: u32 = 50;
    let retry_after_ms = (code == ErrorCode::Busy).then_some(RETRY_AFTER_MS);
    tables.actions.push(Action::Refuse { session: key, code, retry_after_ms });
    tables.sessions.remove(key);
}

pub fn handle_query(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if session.request.is_some() {
        session.backlog.push_back(query);
        return;
    }
    serve(tables, key, query, now_us);
}

/// Serves the next pipelined statement, unless one is being served.
pub fn serve_next(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if session.request.is_some() {
        return;
    }
    if let Some(query) = session.backlog.pop_front() {
        serve(tables, key, query, now_us);
    }
}

/// How a statement is handled on arrival.
enum Dispatch {
    /// The proxy replies itself.
    Reply(Result<(), ErrorCode>),
    /// The statement needs an instance.
    Enqueue,
}

fn serve(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    match dispatch(tables, key, &query) {
        Dispatch::Reply(result) => reply_locally(tables, key, &query, result, now_us),
        Dispatch::Enqueue => enqueue(tables, key, query, now_us),
    }
}

fn dispatch(tables: &mut Tables, key: SessionKey, query: &Query) -> Dispatch {
    let Some(session) = tables.sessions.get(key) else { return Dispatch::Reply(Ok(())) };
    match &session.transaction {
        Transaction::Aborted => after_abort(tables, key, &query.statement),
        Transaction::Failed => after_failure(tables, key, &query.statement),
        Transaction::None => outside_transaction(tables, key, query),
        Transaction::Begun { .. } | Transaction::Open { .. } => {
            inside_transaction(tables, key, &query.statement)
        }
    }
}

/// Handles the first statement after the transaction was rolled back without the caller's
/// knowledge.
fn after_abort(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Dispatch {
    let (transaction, result) = match statement {
        Statement::Rollback => (Transaction::None, Ok(())),
        Statement::Commit => (Transaction::None, Err(ErrorCode::Aborted)),
        _ => (Transaction::Failed, Err(ErrorCode::Aborted)),
    };
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = transaction;
    }
    Dispatch::Reply(result)
}

fn after_failure(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Dispatch {
    let result = match statement {
        Statement::Rollback => Ok(()),
        // The transaction was rolled back; the caller must not take this for a commit.
        Statement::Commit => Err(ErrorCode::Aborted),
        _ => return Dispatch::Reply(Err(ErrorCode::Malformed)),
    };
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = Transaction::None;
    }
    Dispatch::Reply(result)
}

fn outside_transaction(tables: &mut Tables, key: SessionKey, query: &Query) -> Dispatch {
    match &query.statement {
        Statement::Begin { read_only } => {
            let Some(session) = tables.sessions.get_mut(key) else {
                return Dispatch::Reply(Ok(()));
            };
            if !tables.databases.contains_key(&session.database) {
                return Dispatch::Reply(Err(ErrorCode::UnknownDatabase));
            }
            session.transaction = Transaction::Begun {
                id: query.id.clone(),
                text: query.text.clone(),
                read_only: *read_only,
            };
            Dispatch::Reply(Ok(()))
        }
        Statement::Commit | Statement::Rollback => Dispatch::Reply(Err(ErrorCode::Malformed)),
        statement => in_any_state(tables, key, statement),
    }
}

fn inside_transaction(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Dispatch {
    let Some(session) = tables.sessions.get_mut(key) else { return Dispatch::Reply(Ok(())) };
    match statement {
        Statement::Begin { .. } => Dispatch::Reply(Err(ErrorCode::Malformed)),
        Statement::Rollback if session.pinned_connection().is_none() => {
            session.transaction = Transaction::None;
            Dispatch::Reply(Ok(()))
        }
        Statement::Rollback | Statement::Commit => Dispatch::Enqueue,
        statement => in_any_state(tables, key, statement),
    }
}

/// Handles statements that mean the same inside and outside a transaction.
fn in_any_state(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Dispatch {
    let Some(session) = tables.sessions.get_mut(key) else { return Dispatch::Reply(Ok(())) };
    match statement {
        Statement::Set { name, value } => {
            match session.variables.iter_mut().find(|(existing, _)| existing == name) {
                Some((_, present)) => *present = value.clone(),
                None => session.variables.push((name.clone(), value.clone())),
            }
            // Connections are matched by comparing their variables, so these are kept sorted.
            session.variables.sort();
            Dispatch::Reply(Ok(()))
        }
        Statement::Prepare { name, mode, shape } => {
            let id = tables.prepared.id(PreparedStatement { mode: *mode, shape: shape.clone() });
            session.prepared.retain(|(existing, _)| existing != name);
            session.prepared.push((name.clone(), id));
            Dispatch::Reply(Ok(()))
        }
        Statement::Deallocate { name } => {
            let before = session.prepared.len();
            session.prepared.retain(|(existing, _)| existing != name);
            let found = session.prepared.len() < before;
            Dispatch::Reply(found.then_some(()).ok_or(ErrorCode::UnknownPrepared))
        }
        Statement::Execute { name, .. } if session.prepared_id(name).is_none() => {
            Dispatch::Reply(Err(ErrorCode::UnknownPrepared))
        }
        Statement::Read | Statement::Write | Statement::Execute { .. } => Dispatch::Enqueue,
        _ => Dispatch::Reply(Err(ErrorCode::Malformed)),
    }
}

fn reply_locally(
    tables: &mut Tables,
    key: SessionKey,
    query: &Query,
    result: Result<(), ErrorCode>,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let outcome = match result {
        Ok(()) => ReplyOutcome::Complete { signature: None },
        Err(code) => ReplyOutcome::Error {
            code,
            text: Bytes::from_static(describe(code)),
            retry_after_ms: None,
        },
    };
    let status = session.status();
    let is_open = matches!(session.transaction, Transaction::Open { .. });
    let reply = Reply { rows: Vec::new(), outcome, status, position: None };
    tables.actions.push(Action::Reply { session: key, reply });
    if let Err(code) = result {
        let database = session.database.clone();
        tables.metric_events.push(MetricEvent::Failed { database, code });
        completion::log_local_error(tables, key, query, code);
    }
    if is_open {
        completion::restart_idle_deadline(tables, key, now_us);
    }
    serve_next(tables, key, now_us);
}

fn describe(code: ErrorCode) -> &'static [u8] {
    match code {
        ErrorCode::Aborted => b"the transaction was rolled back",
        ErrorCode::UnknownDatabase => b"no database has this name",
        ErrorCode::UnknownPrepared => b"no prepared statement has this name",
        _ => b"not understood, or not allowed in this state of the transaction",
    }
}

/// Queues a request for its replica set, or sends it on the transaction's connection.
fn enqueue(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    let Some(session) = tables.sessions.get(key) else { return };
    let bound_database = session.bound_database.filter(|_| session.pinned_connection().is_some());
    let Some(database) =
        bound_database.or_else(|| tables.databases.get(&session.database).copied())
    else {
        return refuse_unknown_database(tables, key, query, now_us);
    };
    let is_write = match &query.statement {
        Statement::Write => true,
        Statement::Execute { name, .. } => session
            .prepared_id(name)
            .is_some_and(|id| tables.prepared.get(id).mode == AccessMode::Write),
        _ => false,
    };
    let is_read_only = match &session.transaction {
        Transaction::Begun { read_only, .. } | Transaction::Open { read_only, .. } => *read_only,
        _ => !is_write,
    };
    let routing = match database.read_policy {
        _ if !is_read_only => Routing::Primary,
        crate::ReadPolicy::Primary => Routing::Primary,
        crate::ReadPolicy::BoundedStaleness { max_staleness_us } => {
            Routing::AnyFresh { max_staleness_us, own_writes: false }
        }
        crate::ReadPolicy::ReadYourWrites { max_staleness_us } => {
            Routing::AnyFresh { max_staleness_us, own_writes: true }
        }
    };
    let request = Request {
        query,
        stage: Stage::Queued,
        arrived_us: now_us,
        deadline_us: now_us + database.statement_timeout_us,
        target_us: now_us + database.target_latency_us,
        rank: database.rank,
        not_before_us: 0,
        attempts: 0,
        routing,
        is_write,
        avoided_instance: None,
        prefers_primary: false,
        min_position: None,
        sent_us: 0,
    };
    let deadline_us = request.deadline_us;
    if let Routing::AnyFresh { .. } = routing
        && let Some(set) = tables.replica_sets.get_mut(database.replica_set)
    {
        set.last_stale_read_us = now_us;
    }
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let pinned = session.pinned_connection();
    session.bound_database = Some(database);
    session.request = Some(request);
    session.idle_deadline_us = None;
    tables.timers.add(deadline_us, Timer::Session(key));
    match pinned {
        Some(connection) => sending::start_sending(tables, key, connection, now_us),
        None => {
            if let Some(set) = tables.replica_sets.get_mut(database.replica_set) {
                set.queue.push(key);
            }
        }
    }
}

/// Replies to a statement whose database was removed from the configuration.
fn refuse_unknown_database(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = Transaction::None;
    }
    reply_locally(tables, key, &query, Err(ErrorCode::UnknownDatabase), now_us);
}

/// Removes the session of a caller that left and rolls back its transaction.
pub fn close(tables: &mut Tables, key: SessionKey, now_us: u64) {
    completion::release_session(tables, key, now_us);
    tables.sessions.remove(key);
}
