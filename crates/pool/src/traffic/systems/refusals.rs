//! Refusals of instances, and requests that are sent again.

use super::super::request::Stage;
use super::super::tables::{Due, Tables};
use super::super::{DecisionKind, MetricEvent, Report, Response};
use super::ending;
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// Time before a request that an instance refused for lack of room is sent again.
const BUSY_BACKOFF_US: u64 = 15_000;
/// Attempts after which an instance's refusal is passed on.
const ATTEMPTS: u32 = 8;
/// Attempts of a read that an instance has run and failed.
const FAILED_READ_ATTEMPTS: u32 = 2;

/// The instance had no room for a statement inside a transaction; the same instance is asked again.
pub fn resend_later(tables: &mut Tables, key: SessionKey, connection: ConnectionKey, now_us: u64) {
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
pub fn after_refusal(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    response: Response,
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
    pass_refusal(tables, key, instance, code, response, now_us);
}

fn pass_refusal(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    response: Response,
    now_us: u64,
) {
    let reason = "the instance refused or failed the statement";
    tables.decide(DecisionKind::Failed, key, instance, Some(code), reason, now_us);
    if let Some(session) = tables.sessions.get_mut(key) {
        session.leave_transaction();
    }
    ending::deliver(tables, key, response, false, now_us);
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

pub fn report_not_primary(tables: &mut Tables, key: InstanceKey) {
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
    tables.metric_events.push(MetricEvent::Retried);
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
