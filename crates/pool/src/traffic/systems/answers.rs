//! Answers of instances.

use flamingorock_core::TransactionStatus;

use super::super::connection::Outstanding;
use super::super::request::{Need, Stage};
use super::super::session::Transaction;
use super::super::tables::{Due, Tables};
use super::super::{Answer, DecisionKind, Observation, Report, Statement};
use super::{connections, ending, group_calls, losses, sending};
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// Time before a request that an instance refused for lack of room is sent again.
const BUSY_BACKOFF_US: u64 = 15_000;
/// Attempts after which an instance's refusal is passed on.
const ATTEMPTS: u32 = 8;
/// Attempts of a read that an instance has run and failed.
const FAILED_READ_ATTEMPTS: u32 = 2;

pub fn receive(tables: &mut Tables, key: ConnectionKey, answer: Answer, now_us: u64) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    let instance = connection.instance;
    let session = connection.session;
    let Some((sent_us, outstanding)) = connection.outstanding.pop_front() else {
        // An answer that nothing was asked for: the connection is out of step.
        return ending::discard(tables, key);
    };
    connections::hear(tables, instance, sent_us, answer.position, now_us);
    match outstanding {
        Outstanding::Sync => synced(tables, key, session, &answer, now_us),
        Outstanding::Begin => begun(tables, key, session, answer, now_us),
        Outstanding::Statement => finish(tables, key, session, answer, sent_us, now_us),
        Outstanding::Rollback => {
            if answer.status != TransactionStatus::Idle {
                ending::discard(tables, key);
            }
        }
        Outstanding::Probe => {}
        Outstanding::Group(call) => group_calls::answered(tables, call, &answer),
    }
}

fn synced(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    answer: &Answer,
    now_us: u64,
) {
    if answer.outcome.error().is_some() {
        return losses::lose_and_close(tables, connection, now_us);
    }
    let is_done = tables.connections.get(connection).is_some_and(|row| row.outstanding.is_empty());
    if let (true, Some(session)) = (is_done, session) {
        sending::send_next(tables, session, connection, now_us);
    }
}

fn begun(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    answer: Answer,
    now_us: u64,
) {
    let Some(key) = session else { return };
    let Some(code) = answer.outcome.error() else {
        if let Some(session) = tables.sessions.get_mut(key) {
            if let Transaction::Begun { read_only, .. } = session.transaction {
                session.transaction =
                    Transaction::Open { connection, read_only, has_written: false };
            }
        }
        return sending::send_statement(tables, key, connection, now_us);
    };
    let instance = connection_instance(tables, connection);
    ending::release(tables, connection);
    if answer.status != TransactionStatus::Idle {
        ending::discard(tables, connection);
    }
    after_refusal(tables, key, instance, code, answer, now_us);
}

fn connection_instance(tables: &Tables, connection: ConnectionKey) -> Option<InstanceKey> {
    tables.connections.get(connection).map(|row| row.instance)
}

fn finish(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    answer: Answer,
    sent_us: u64,
    now_us: u64,
) {
    let Some(key) = session else { return };
    let Some(instance) = connection_instance(tables, connection) else { return };
    note_answer(tables, instance, &answer, sent_us, now_us);
    let Some(row) = tables.sessions.get(key) else { return };
    match row.transaction {
        Transaction::Open { has_written, .. } => {
            finish_inside(tables, key, connection, instance, has_written, answer, now_us);
        }
        _ => finish_outside(tables, key, connection, instance, answer, now_us),
    }
}

fn note_answer(
    tables: &mut Tables,
    instance: InstanceKey,
    answer: &Answer,
    sent_us: u64,
    now_us: u64,
) {
    let Some(row) = tables.instances.get_mut(instance) else { return };
    match answer.outcome.error() {
        None => {
            row.record_answer(now_us.saturating_sub(sent_us));
            row.record_failure(false);
        }
        Some(ErrorCode::Failed | ErrorCode::Timeout) => row.record_failure(true),
        Some(_) => {}
    }
}

fn finish_outside(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    instance: InstanceKey,
    answer: Answer,
    now_us: u64,
) {
    ending::release(tables, connection);
    if answer.status != TransactionStatus::Idle {
        ending::discard(tables, connection);
    }
    match answer.outcome.error() {
        None => succeed(tables, key, instance, answer, now_us),
        Some(code) => after_refusal(tables, key, Some(instance), code, answer, now_us),
    }
}

/// A statement outside a transaction has succeeded. What a superseded primary says is not passed on.
fn succeed(
    tables: &mut Tables,
    key: SessionKey,
    instance: InstanceKey,
    answer: Answer,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &session.request else { return };
    let writes = request.writes;
    // A read with a required position is fresh enough wherever it ran.
    let rests_on_primary = writes || request.min_position.is_none();
    if rests_on_primary && !tables.answers_as_primary(instance, now_us) {
        if writes {
            return ending::fail(
                tables,
                key,
                Some(instance),
                ErrorCode::InDoubt,
                "the primary was replaced while the write ran",
                None,
                now_us,
            );
        }
        return retry(tables, key, Some(instance), "the primary was replaced", now_us);
    }
    if writes {
        raise_token(tables, key, &answer, now_us);
    }
    let by_primary = tables.serves_as_primary(instance);
    ending::deliver(tables, key, answer, by_primary, now_us);
}

/// The session must see its own commit from now on.
fn raise_token(tables: &mut Tables, key: SessionKey, answer: &Answer, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.token = session.token.max(answer.position);
        session.token_us = now_us;
    }
}

/// A statement inside a transaction has been answered.
fn finish_inside(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    instance: InstanceKey,
    has_written: bool,
    answer: Answer,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &session.request else { return };
    let is_commit = matches!(request.query.statement, Statement::Commit);
    let rests_on_primary = request.need == Need::Primary;
    if answer.outcome.error() == Some(ErrorCode::Busy) && ending::is_open(answer.status) {
        return resend_later(tables, key, connection, now_us);
    }
    if answer.outcome.error().is_none()
        && rests_on_primary
        && !tables.answers_as_primary(instance, now_us)
    {
        return superseded_inside(tables, key, connection, is_commit && has_written, now_us);
    }
    if answer.outcome.error().is_none() && is_commit && has_written {
        raise_token(tables, key, &answer, now_us);
    }
    settle_transaction(tables, key, connection, answer.status, now_us);
    if answer.outcome.error() == Some(ErrorCode::ReadOnly) {
        report_not_primary(tables, instance);
    }
    if answer.outcome.error().is_some() {
        let code = answer.outcome.error();
        tables.decide(
            DecisionKind::Failed,
            key,
            Some(instance),
            code,
            "the instance answered with an error inside a transaction",
            now_us,
        );
    }
    let by_primary = tables.serves_as_primary(instance);
    ending::deliver(tables, key, answer, by_primary, now_us);
}

fn superseded_inside(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    is_commit_of_writes: bool,
    now_us: u64,
) {
    ending::discard(tables, connection);
    if let Some(session) = tables.sessions.get_mut(key) {
        let ends = matches!(
            session.request.as_ref().map(|request| &request.query.statement),
            Some(Statement::Commit | Statement::Rollback)
        );
        session.transaction = if ends { Transaction::None } else { Transaction::Failed };
    }
    let code = if is_commit_of_writes { ErrorCode::InDoubt } else { ErrorCode::Aborted };
    let reason = "the primary was replaced during the transaction";
    ending::fail(tables, key, None, code, reason, None, now_us);
}

/// Brings the session's transaction in line with what the instance says.
fn settle_transaction(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    status: TransactionStatus,
    now_us: u64,
) {
    match status {
        TransactionStatus::Open => {}
        TransactionStatus::Idle => {
            ending::release(tables, connection);
            if let Some(session) = tables.sessions.get_mut(key) {
                let ends = matches!(
                    session.request.as_ref().map(|request| &request.query.statement),
                    Some(Statement::Commit | Statement::Rollback)
                );
                // An instance that ended the transaction by itself has rolled it back.
                session.transaction = if ends { Transaction::None } else { Transaction::Failed };
            }
        }
        TransactionStatus::Failed => {
            if let Some(session) = tables.sessions.get_mut(key) {
                session.transaction = Transaction::Failed;
            }
            ending::roll_back(tables, connection, now_us);
        }
    }
}

/// The instance had no room for a statement inside a transaction; the same instance is asked again.
fn resend_later(tables: &mut Tables, key: SessionKey, connection: ConnectionKey, now_us: u64) {
    let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) else {
        return;
    };
    request.stage = Stage::Resending { connection };
    request.attempts += 1;
    request.not_before_us = now_us + BUSY_BACKOFF_US;
    tables.due.add(now_us + BUSY_BACKOFF_US, Due::Session(key));
    tables.decide(
        DecisionKind::Retried,
        key,
        None,
        Some(ErrorCode::Busy),
        "the instance had no room for a statement inside a transaction",
        now_us,
    );
}

/// An instance refused or failed a request that holds no open transaction.
fn after_refusal(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    answer: Answer,
    now_us: u64,
) {
    let Some(request) = tables.sessions.get(key).and_then(|row| row.request.as_ref()) else {
        return;
    };
    let attempts = request.attempts;
    let writes = request.writes;
    note_refusal(tables, instance, code, now_us);
    let may_retry = match code {
        ErrorCode::Failed => !writes && attempts < FAILED_READ_ATTEMPTS,
        _ => code.is_not_run() && attempts < ATTEMPTS,
    };
    if code == ErrorCode::Lagging {
        note_lagging(tables, key);
    }
    if may_retry {
        return retry(
            tables,
            key,
            instance,
            "the instance refused or failed the statement",
            now_us,
        );
    }
    pass_refusal(tables, key, instance, code, answer, now_us);
}

fn pass_refusal(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    answer: Answer,
    now_us: u64,
) {
    let reason = "the instance refused or failed the statement";
    tables.decide(DecisionKind::Failed, key, instance, Some(code), reason, now_us);
    if let Some(session) = tables.sessions.get_mut(key) {
        if matches!(session.transaction, Transaction::Begun { .. }) {
            let ends = matches!(
                session.request.as_ref().map(|request| &request.query.statement),
                Some(Statement::Commit)
            );
            session.transaction = if ends { Transaction::None } else { Transaction::Failed };
        }
    }
    ending::deliver(tables, key, answer, false, now_us);
}

fn note_refusal(tables: &mut Tables, instance: Option<InstanceKey>, code: ErrorCode, now_us: u64) {
    let Some(key) = instance else { return };
    match code {
        ErrorCode::Busy => {
            if let Some(row) = tables.instances.get_mut(key) {
                row.refusing_until_us = now_us + BUSY_BACKOFF_US;
            }
            tables.due.add(now_us + BUSY_BACKOFF_US, Due::Systems);
        }
        ErrorCode::ReadOnly => report_not_primary(tables, key),
        ErrorCode::UnknownPrepared => forget_prepared(tables, key),
        _ => {}
    }
}

/// A replica was behind: the primary is asked next, so that the request does not go round.
fn note_lagging(tables: &mut Tables, key: SessionKey) {
    if let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) {
        request.prefers_primary = true;
    }
}

/// The instance has lost prepared statements that this proxy believed it had.
fn forget_prepared(tables: &mut Tables, instance: InstanceKey) {
    for (_, connection) in tables.connections.iter_mut() {
        if connection.instance == instance {
            connection.prepared.clear();
        }
    }
}

fn report_not_primary(tables: &mut Tables, key: InstanceKey) {
    if !tables.serves_as_primary(key) {
        return;
    }
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    tables
        .reports
        .push(Report::NotPrimary { replica_set: set.name.clone(), instance: instance.id.clone() });
}

/// Queues a request again that certainly left nothing behind.
pub fn retry(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    reason: &'static str,
    now_us: u64,
) {
    tables.decide(DecisionKind::Retried, key, instance, None, reason, now_us);
    tables.observations.push(Observation::Retried);
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &mut session.request else { return };
    request.stage = Stage::Waiting;
    request.attempts += 1;
    request.avoided = instance;
    request.min_position = None;
    let Some(database) = tables.databases.get(&session.database) else {
        return ending::fail(
            tables,
            key,
            instance,
            ErrorCode::UnknownDatabase,
            "the database was removed from the configuration",
            None,
            now_us,
        );
    };
    if let Some(set) = tables.replica_sets.get_mut(database.replica_set) {
        set.waiting.push(key);
    }
}
