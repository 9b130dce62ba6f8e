//! Handles responses of instances.

use flamingorock_core::TransactionStatus;

use super::super::connection::Outstanding;
use super::super::request::Routing;
use super::super::session::Transaction;
use super::super::tables::Tables;
use super::super::{DecisionKind, Response, Statement};
use super::{completion, connection_loss, connections, instance_calls, refusals, sending};
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

pub fn handle(tables: &mut Tables, key: ConnectionKey, response: Response, now_us: u64) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    let instance = connection.instance;
    let session = connection.session;
    let Some((sent_us, outstanding)) = connection.outstanding.pop_front() else {
        // Without an outstanding command, the two ends no longer agree on the order of responses.
        return completion::discard(tables, key);
    };
    connections::record_response(tables, instance, sent_us, response.position, now_us);
    match outstanding {
        Outstanding::Sync => handle_sync(tables, key, session, &response, now_us),
        Outstanding::Begin => handle_begin(tables, key, session, response, now_us),
        Outstanding::Statement => handle_statement(tables, key, session, response, sent_us, now_us),
        Outstanding::Rollback => {
            if response.status != TransactionStatus::Idle {
                completion::discard(tables, key);
            }
        }
        Outstanding::Probe => {}
        Outstanding::InstanceCall(call) => instance_calls::handle_response(tables, call, &response),
    }
}

fn handle_sync(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    response: &Response,
    now_us: u64,
) {
    if response.outcome.error().is_some() {
        return connection_loss::close_failed(tables, connection, now_us);
    }
    let is_done = tables.connections.get(connection).is_some_and(|row| row.outstanding.is_empty());
    if let (true, Some(session)) = (is_done, session) {
        sending::send_next(tables, session, connection, now_us);
    }
}

fn handle_begin(
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
    let instance = instance_of(tables, connection);
    completion::release(tables, connection);
    if response.status != TransactionStatus::Idle {
        completion::discard(tables, connection);
    }
    refusals::handle_refusal(tables, key, instance, code, response, now_us);
}

fn instance_of(tables: &Tables, connection: ConnectionKey) -> Option<InstanceKey> {
    tables.connections.get(connection).map(|row| row.instance)
}

fn handle_statement(
    tables: &mut Tables,
    connection: ConnectionKey,
    session: Option<SessionKey>,
    response: Response,
    sent_us: u64,
    now_us: u64,
) {
    let Some(key) = session else { return };
    let Some(instance) = instance_of(tables, connection) else { return };
    record_statement_result(tables, instance, &response, sent_us, now_us);
    let Some(row) = tables.sessions.get(key) else { return };
    match row.transaction {
        Transaction::Open { has_written, .. } => {
            finish_in_transaction(tables, key, connection, instance, has_written, response, now_us);
        }
        _ => finish_autocommit(tables, key, connection, instance, response, now_us),
    }
}

fn record_statement_result(
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
                set.refusal_rate.record_success();
            }
            row.congestion.record(now_us.saturating_sub(sent_us), now_us);
            row.record_failure(false);
        }
        Some(ErrorCode::Failed | ErrorCode::Timeout) => row.record_failure(true),
        Some(_) => {}
    }
}

fn finish_autocommit(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    instance: InstanceKey,
    response: Response,
    now_us: u64,
) {
    completion::release(tables, connection);
    if response.status != TransactionStatus::Idle {
        completion::discard(tables, connection);
    }
    match response.outcome.error() {
        None => deliver_success(tables, key, instance, response, now_us),
        Some(code) => refusals::handle_refusal(tables, key, Some(instance), code, response, now_us),
    }
}

/// Finishes a statement that succeeded outside a transaction. Results of a primary that has been
/// replaced are not passed on.
fn deliver_success(
    tables: &mut Tables,
    key: SessionKey,
    instance: InstanceKey,
    response: Response,
    now_us: u64,
) {
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &session.request else { return };
    let is_write = request.is_write;
    // A read that required a log position is fresh enough wherever it ran.
    let depends_on_primary = is_write || request.min_position.is_none();
    if depends_on_primary && !tables.may_deliver_primary_response(instance, now_us) {
        if is_write {
            return completion::fail_request(
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
    if is_write {
        record_commit_position(tables, key, &response, now_us);
    }
    let by_primary = tables.is_serving_primary(instance);
    completion::deliver_response(tables, key, response, by_primary, now_us);
}

/// Raises the position that the session's later reads must cover.
fn record_commit_position(tables: &mut Tables, key: SessionKey, response: &Response, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.commit_position = session.commit_position.max(response.position);
        session.commit_us = now_us;
    }
}

/// Finishes a statement inside a transaction.
fn finish_in_transaction(
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
    let depends_on_primary = request.routing == Routing::Primary;
    if response.outcome.error() == Some(ErrorCode::Busy) && completion::is_open(response.status) {
        return refusals::retry_in_transaction(tables, key, connection, now_us);
    }
    if response.outcome.error().is_none()
        && depends_on_primary
        && !tables.may_deliver_primary_response(instance, now_us)
    {
        return abort_superseded(tables, key, connection, is_commit && has_written, now_us);
    }
    if response.outcome.error().is_none() && is_commit && has_written {
        record_commit_position(tables, key, &response, now_us);
    }
    apply_transaction_status(tables, key, connection, response.status, now_us);
    if response.outcome.error() == Some(ErrorCode::ReadOnly) {
        refusals::report_not_primary(tables, instance);
    }
    if response.outcome.error().is_some() {
        let code = response.outcome.error();
        tables.log_decision(
            DecisionKind::Failed,
            key,
            Some(instance),
            code,
            "the instance answered with an error inside a transaction",
            now_us,
        );
    }
    let by_primary = tables.is_serving_primary(instance);
    completion::deliver_response(tables, key, response, by_primary, now_us);
}

fn abort_superseded(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    is_commit_of_writes: bool,
    now_us: u64,
) {
    completion::discard(tables, connection);
    if let Some(session) = tables.sessions.get_mut(key) {
        session.mark_rolled_back();
    }
    let code = if is_commit_of_writes { ErrorCode::InDoubt } else { ErrorCode::Aborted };
    let reason = "the primary was replaced during the transaction";
    completion::fail_request(tables, key, None, code, reason, None, now_us);
}

/// Updates the session's transaction to the status that the instance reported.
fn apply_transaction_status(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    status: TransactionStatus,
    now_us: u64,
) {
    match status {
        TransactionStatus::Open => {}
        TransactionStatus::Idle => {
            completion::release(tables, connection);
            if let Some(session) = tables.sessions.get_mut(key) {
                session.mark_rolled_back();
            }
        }
        TransactionStatus::Failed => {
            if let Some(session) = tables.sessions.get_mut(key) {
                session.transaction = Transaction::Failed;
            }
            completion::roll_back(tables, connection, now_us);
        }
    }
}
