//! Answers of instances.

use flamingorock_core::TransactionStatus;

use super::super::connection::Outstanding;
use super::super::request::Need;
use super::super::session::Transaction;
use super::super::tables::Tables;
use super::super::{DecisionKind, Response, Statement};
use super::{connections, ending, group_calls, losses, refusals, sending};
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

pub fn receive(tables: &mut Tables, key: ConnectionKey, response: Response, now_us: u64) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    let instance = connection.instance;
    let session = connection.session;
    let Some((sent_us, outstanding)) = connection.outstanding.pop_front() else {
        // An answer that nothing was asked for: the connection is out of step.
        return ending::discard(tables, key);
    };
    connections::hear(tables, instance, sent_us, response.position, now_us);
    match outstanding {
        Outstanding::Sync => synced(tables, key, session, &response, now_us),
        Outstanding::Begin => begun(tables, key, session, response, now_us),
        Outstanding::Statement => finish(tables, key, session, response, sent_us, now_us),
        Outstanding::Rollback => {
            if response.status != TransactionStatus::Idle {
                ending::discard(tables, key);
            }
        }
        Outstanding::Probe => {}
        Outstanding::Group(call) => group_calls::answered(tables, call, &response),
    }
}

fn synced(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    response: &Response,
    now_us: u64,
) {
    if response.outcome.error().is_some() {
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
    response: Response,
    now_us: u64,
) {
    let Some(key) = session else { return };
    let Some(code) = response.outcome.error() else {
        if let Some(session) = tables.sessions.get_mut(key)
            && let Transaction::Begun { read_only, .. } = session.transaction
        {
            session.transaction = Transaction::Open { connection, read_only, has_written: false };
        }
        return sending::send_statement(tables, key, connection, now_us);
    };
    let instance = connection_instance(tables, connection);
    ending::release(tables, connection);
    if response.status != TransactionStatus::Idle {
        ending::discard(tables, connection);
    }
    refusals::after_refusal(tables, key, instance, code, response, now_us);
}

fn connection_instance(tables: &Tables, connection: ConnectionKey) -> Option<InstanceKey> {
    tables.connections.get(connection).map(|row| row.instance)
}

fn finish(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    response: Response,
    sent_us: u64,
    now_us: u64,
) {
    let Some(key) = session else { return };
    let Some(instance) = connection_instance(tables, connection) else { return };
    note_answer(tables, instance, &response, sent_us, now_us);
    let Some(row) = tables.sessions.get(key) else { return };
    match row.transaction {
        Transaction::Open { has_written, .. } => {
            finish_inside(tables, key, connection, instance, has_written, response, now_us);
        }
        _ => finish_outside(tables, key, connection, instance, response, now_us),
    }
}

fn note_answer(
    tables: &mut Tables,
    instance: InstanceKey,
    response: &Response,
    sent_us: u64,
    now_us: u64,
) {
    let Some(row) = tables.instances.get_mut(instance) else { return };
    match response.outcome.error() {
        None => {
            let set = tables.replica_sets.get_mut(row.replica_set);
            if let Some(set) = set.filter(|set| set.primary == Some(instance)) {
                set.turned_away.note_answered();
            }
            row.congestion.record(now_us.saturating_sub(sent_us), now_us);
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
    response: Response,
    now_us: u64,
) {
    ending::release(tables, connection);
    if response.status != TransactionStatus::Idle {
        ending::discard(tables, connection);
    }
    match response.outcome.error() {
        None => succeed(tables, key, instance, response, now_us),
        Some(code) => refusals::after_refusal(tables, key, Some(instance), code, response, now_us),
    }
}

/// A statement outside a transaction has succeeded. What a superseded primary says is not passed on.
fn succeed(
    tables: &mut Tables,
    key: SessionKey,
    instance: InstanceKey,
    response: Response,
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
        return refusals::retry(tables, key, Some(instance), "the primary was replaced", now_us);
    }
    if writes {
        raise_token(tables, key, &response, now_us);
    }
    let by_primary = tables.serves_as_primary(instance);
    ending::deliver(tables, key, response, by_primary, now_us);
}

/// The session must see its own commit from now on.
fn raise_token(tables: &mut Tables, key: SessionKey, response: &Response, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.token = session.token.max(response.position);
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
    response: Response,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &session.request else { return };
    let is_commit = matches!(request.query.statement, Statement::Commit);
    let rests_on_primary = request.need == Need::Primary;
    if response.outcome.error() == Some(ErrorCode::Busy) && ending::is_open(response.status) {
        return refusals::resend_later(tables, key, connection, now_us);
    }
    if response.outcome.error().is_none()
        && rests_on_primary
        && !tables.answers_as_primary(instance, now_us)
    {
        return superseded_inside(tables, key, connection, is_commit && has_written, now_us);
    }
    if response.outcome.error().is_none() && is_commit && has_written {
        raise_token(tables, key, &response, now_us);
    }
    settle_transaction(tables, key, connection, response.status, now_us);
    if response.outcome.error() == Some(ErrorCode::ReadOnly) {
        refusals::report_not_primary(tables, instance);
    }
    if response.outcome.error().is_some() {
        let code = response.outcome.error();
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
    ending::deliver(tables, key, response, by_primary, now_us);
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
        session.leave_transaction();
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
                session.leave_transaction();
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
