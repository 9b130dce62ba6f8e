//! Start and end of sessions, and the statements that need no instance.

use bytes::Bytes;

use super::super::prepared::Prepared;
use super::super::request::{Need, Request, Stage};
use super::super::session::Transaction;
use super::super::tables::{Due, Tables};
use super::super::{AccessMode, Action, MetricEvent, Query, Reply, ReplyOutcome, Statement};
use super::{ending, sending};
use crate::{ErrorCode, SessionKey};

/// How long a session may wait for the first configuration. Callers give up after two seconds.
const START_PATIENCE_US: u64 = 1_800_000;

pub fn start(tables: &mut Tables, key: SessionKey, database: Bytes, now_us: u64) {
    let has_lost_contact = tables.has_lost_contact(now_us);
    let Some(session) = tables.sessions.get_mut(key) else { return };
    session.database = database;
    if has_lost_contact {
        return refuse(tables, key, ErrorCode::Busy);
    }
    session.idle_deadline_us = Some(now_us + START_PATIENCE_US);
    tables.due.add(now_us + START_PATIENCE_US, Due::Session(key));
    accept(tables, key);
}

/// Accepts a session, or refuses it if the configuration has no such database. Without any
/// configuration it waits.
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

/// Refuses a session that has not started.
pub fn refuse(tables: &mut Tables, key: SessionKey, code: ErrorCode) {
    const RETRY_AFTER_MS: u32 = 50;
    let retry_after_ms = (code == ErrorCode::Busy).then_some(RETRY_AFTER_MS);
    tables.actions.push(Action::Refuse { session: key, code, retry_after_ms });
    tables.sessions.remove(key);
}

pub fn receive(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if session.request.is_some() {
        session.backlog.push_back(query);
        return;
    }
    serve(tables, key, query, now_us);
}

/// Serves the next statement that arrived while another one was being served.
pub fn serve_backlog(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    if session.request.is_some() {
        return;
    }
    if let Some(query) = session.backlog.pop_front() {
        serve(tables, key, query, now_us);
    }
}

/// What becomes of a statement on arrival.
enum Next {
    /// It is answered without an instance.
    Answer(Result<(), ErrorCode>),
    /// It needs an instance.
    Enqueue,
}

fn serve(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    match next(tables, key, &query) {
        Next::Answer(result) => answer(tables, key, &query, result, now_us),
        Next::Enqueue => enqueue(tables, key, query, now_us),
    }
}

fn next(tables: &mut Tables, key: SessionKey, query: &Query) -> Next {
    let Some(session) = tables.sessions.get(key) else { return Next::Answer(Ok(())) };
    match &session.transaction {
        Transaction::Aborted => end_aborted(tables, key, &query.statement),
        Transaction::Failed => end_failed(tables, key, &query.statement),
        Transaction::None => outside_transaction(tables, key, query),
        Transaction::Begun { .. } | Transaction::Open { .. } => {
            inside_transaction(tables, key, &query.statement)
        }
    }
}

/// The first statement after this proxy has rolled the transaction back.
fn end_aborted(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Next {
    let (transaction, result) = match statement {
        Statement::Rollback => (Transaction::None, Ok(())),
        Statement::Commit => (Transaction::None, Err(ErrorCode::Aborted)),
        _ => (Transaction::Failed, Err(ErrorCode::Aborted)),
    };
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = transaction;
    }
    Next::Answer(result)
}

fn end_failed(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Next {
    let result = match statement {
        Statement::Rollback => Ok(()),
        // The transaction has been rolled back, which the caller must not take for a commit.
        Statement::Commit => Err(ErrorCode::Aborted),
        _ => return Next::Answer(Err(ErrorCode::Malformed)),
    };
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = Transaction::None;
    }
    Next::Answer(result)
}

fn outside_transaction(tables: &mut Tables, key: SessionKey, query: &Query) -> Next {
    match &query.statement {
        Statement::Begin { read_only } => {
            let Some(session) = tables.sessions.get_mut(key) else {
                return Next::Answer(Ok(()));
            };
            if !tables.databases.contains_key(&session.database) {
                return Next::Answer(Err(ErrorCode::UnknownDatabase));
            }
            session.transaction = Transaction::Begun {
                id: query.id.clone(),
                text: query.text.clone(),
                read_only: *read_only,
            };
            Next::Answer(Ok(()))
        }
        Statement::Commit | Statement::Rollback => Next::Answer(Err(ErrorCode::Malformed)),
        statement => anywhere(tables, key, statement),
    }
}

fn inside_transaction(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Next {
    let Some(session) = tables.sessions.get_mut(key) else { return Next::Answer(Ok(())) };
    match statement {
        Statement::Begin { .. } => Next::Answer(Err(ErrorCode::Malformed)),
        Statement::Rollback if session.pinned().is_none() => {
            session.transaction = Transaction::None;
            Next::Answer(Ok(()))
        }
        Statement::Rollback | Statement::Commit => Next::Enqueue,
        statement => anywhere(tables, key, statement),
    }
}

/// Statements that mean the same inside and outside a transaction.
fn anywhere(tables: &mut Tables, key: SessionKey, statement: &Statement) -> Next {
    let Some(session) = tables.sessions.get_mut(key) else { return Next::Answer(Ok(())) };
    match statement {
        Statement::Set { name, value } => {
            match session.values.iter_mut().find(|(own, _)| own == name) {
                Some((_, present)) => *present = value.clone(),
                None => session.values.push((name.clone(), value.clone())),
            }
            // Connections are compared by their values, so that these are kept in one order.
            session.values.sort();
            Next::Answer(Ok(()))
        }
        Statement::Prepare { name, mode, shape } => {
            let id = tables.prepared.id(Prepared { mode: *mode, shape: shape.clone() });
            session.prepared.retain(|(own, _)| own != name);
            session.prepared.push((name.clone(), id));
            Next::Answer(Ok(()))
        }
        Statement::Deallocate { name } => {
            let before = session.prepared.len();
            session.prepared.retain(|(own, _)| own != name);
            let found = session.prepared.len() < before;
            Next::Answer(found.then_some(()).ok_or(ErrorCode::UnknownPrepared))
        }
        Statement::Execute { name, .. } if session.prepared_id(name).is_none() => {
            Next::Answer(Err(ErrorCode::UnknownPrepared))
        }
        Statement::Read | Statement::Write | Statement::Execute { .. } => Next::Enqueue,
        _ => Next::Answer(Err(ErrorCode::Malformed)),
    }
}

fn answer(
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
        ending::note_local_error(tables, key, query, code);
    }
    if is_open {
        ending::restart_idle_deadline(tables, key, now_us);
    }
    serve_backlog(tables, key, now_us);
}

fn describe(code: ErrorCode) -> &'static [u8] {
    match code {
        ErrorCode::Aborted => b"the transaction was rolled back",
        ErrorCode::UnknownDatabase => b"no database has this name",
        ErrorCode::UnknownPrepared => b"no prepared statement has this name",
        _ => b"not understood, or not allowed in this state of the transaction",
    }
}

/// Adds a request to the queue of its replica set, or sends it on the transaction's connection.
fn enqueue(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    let Some(session) = tables.sessions.get(key) else { return };
    let bound = session.bound.filter(|_| session.pinned().is_some());
    let Some(database) = bound.or_else(|| tables.databases.get(&session.database).copied()) else {
        return refuse_unknown(tables, key, query, now_us);
    };
    let writes = match &query.statement {
        Statement::Write => true,
        Statement::Execute { name, .. } => session
            .prepared_id(name)
            .is_some_and(|id| tables.prepared.get(id).mode == AccessMode::Write),
        _ => false,
    };
    let reads_only = match &session.transaction {
        Transaction::Begun { read_only, .. } | Transaction::Open { read_only, .. } => *read_only,
        _ => !writes,
    };
    let need = match database.read_policy {
        _ if !reads_only => Need::Primary,
        crate::ReadPolicy::Primary => Need::Primary,
        crate::ReadPolicy::BoundedStaleness { max_staleness_us } => {
            Need::Fresh { max_staleness_us, own_writes: false }
        }
        crate::ReadPolicy::ReadYourWrites { max_staleness_us } => {
            Need::Fresh { max_staleness_us, own_writes: true }
        }
    };
    let request = Request {
        query,
        stage: Stage::Waiting,
        arrived_us: now_us,
        deadline_us: now_us + database.statement_timeout_us,
        target_us: now_us + database.target_latency_us,
        rank: database.rank,
        not_before_us: 0,
        attempts: 0,
        need,
        writes,
        avoided: None,
        prefers_primary: false,
        min_position: None,
        sent_us: 0,
    };
    let deadline_us = request.deadline_us;
    if let Need::Fresh { .. } = need
        && let Some(set) = tables.replica_sets.get_mut(database.replica_set)
    {
        set.stale_read_us = now_us;
    }
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let pinned = session.pinned();
    session.bound = Some(database);
    session.request = Some(request);
    session.idle_deadline_us = None;
    tables.due.add(deadline_us, Due::Session(key));
    match pinned {
        Some(connection) => sending::continue_on(tables, key, connection, now_us),
        None => {
            if let Some(set) = tables.replica_sets.get_mut(database.replica_set) {
                set.waiting.push(key);
            }
        }
    }
}

/// A database that the newest configuration no longer has.
fn refuse_unknown(tables: &mut Tables, key: SessionKey, query: Query, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = Transaction::None;
    }
    answer(tables, key, &query, Err(ErrorCode::UnknownDatabase), now_us);
}

/// A caller has left: its transaction is rolled back.
pub fn leave(tables: &mut Tables, key: SessionKey, now_us: u64) {
    ending::abandon(tables, key, now_us);
    tables.sessions.remove(key);
}
