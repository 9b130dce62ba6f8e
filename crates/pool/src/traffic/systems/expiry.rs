//! Handles expired timers.

use super::super::Statement;
use super::super::connection::ConnectionState;
use super::super::request::Stage;
use super::super::session::Transaction;
use super::super::tables::{Tables, Timer};
use super::{completion, connection_loss, connections, sending, sessions};
use crate::{ConnectionKey, ErrorCode, SessionKey};

/// Delay suggested to a caller whose request did not run before its timeout.
const RETRY_AFTER_MS: u32 = 200;

pub fn run(tables: &mut Tables, now_us: u64) {
    while let Some(timer) = tables.timers.pop_expired(now_us) {
        match timer {
            Timer::Session(key) => expire_session(tables, key, now_us),
            Timer::Connection(key) => expire_connection(tables, key, now_us),
            Timer::Wakeup => {}
        }
    }
}

/// Closes a connection that did not become ready in time.
fn expire_connection(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    let Some(row) = tables.connections.get(key) else { return };
    if row.state == ConnectionState::Ready || now_us < row.start_deadline_us {
        return;
    }
    let instance = row.instance;
    let is_established = row.state == ConnectionState::Starting;
    connection_loss::close_failed(tables, key, now_us);
    match is_established {
        true => connections::mark_exhausted(tables, instance, now_us),
        false => connections::record_connect_failure(tables, instance, now_us),
    }
}

fn expire_session(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(row) = tables.sessions.get(key) else { return };
    if row.idle_deadline_us.is_some_and(|deadline_us| deadline_us <= now_us) {
        return expire_idle(tables, key, now_us);
    }
    let Some(request) = &row.request else { return };
    if request.deadline_us <= now_us {
        return expire_request(tables, key, now_us);
    }
    if let Stage::BackingOff { connection } = request.stage
        && request.not_before_us <= now_us
    {
        sending::send_statement(tables, key, connection, now_us);
    }
}

/// Refuses a session that did not start in time, or rolls back a transaction that was idle for too
/// long.
fn expire_idle(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(row) = tables.sessions.get_mut(key) else { return };
    if !row.is_accepted {
        return sessions::refuse(tables, key, ErrorCode::Busy);
    }
    row.idle_deadline_us = None;
    completion::abort_transaction(tables, key, now_us);
}

fn expire_request(tables: &mut Tables, key: SessionKey, now_us: u64) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &session.request else { return };
    let stage = request.stage;
    let ends = matches!(request.query.statement, Statement::Commit | Statement::Rollback);
    let is_open = session.transaction != Transaction::None;
    if is_open {
        session.transaction = if ends { Transaction::None } else { Transaction::Failed };
    }
    match stage {
        Stage::Queued => {
            remove_from_queue(tables, key);
            let reason = "the statement found no room before its timeout";
            fail(tables, key, ErrorCode::Busy, reason, now_us);
        }
        Stage::BackingOff { connection } => {
            completion::roll_back(tables, connection, now_us);
            let reason = "the instance had no room before the statement's timeout";
            fail(tables, key, ErrorCode::Busy, reason, now_us);
        }
        Stage::Syncing { connection } | Stage::Beginning { connection } => {
            completion::discard(tables, connection);
            let reason = "the instance did not begin the statement before its timeout";
            fail(tables, key, ErrorCode::Busy, reason, now_us);
        }
        Stage::Running { connection } => {
            completion::discard(tables, connection);
            let is_rolled_back = is_open && !ends;
            let code = if is_rolled_back { ErrorCode::Aborted } else { ErrorCode::Timeout };
            fail(tables, key, code, "the instance did not answer before the timeout", now_us);
        }
    }
}

fn fail(tables: &mut Tables, key: SessionKey, code: ErrorCode, reason: &'static str, now_us: u64) {
    let retry_after_ms = (code == ErrorCode::Busy).then_some(RETRY_AFTER_MS);
    completion::fail_request(tables, key, None, code, reason, retry_after_ms, now_us);
}

fn remove_from_queue(tables: &mut Tables, key: SessionKey) {
    for (_, set) in tables.replica_sets.iter_mut() {
        set.queue.retain(|queued| *queued != key);
    }
}
