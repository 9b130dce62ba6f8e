//! Handles commands that instances refused, and retries requests.

use super::super::request::Stage;
use super::super::tables::{Tables, Timer};
use super::super::{DecisionKind, MetricEvent, Report, Response};
use super::completion;
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// Delay before a request is sent again that an instance refused for lack of capacity.
const BUSY_BACKOFF_US: u64 = 15_000;
/// Attempts after which an instance's refusal is passed to the caller.
const MAX_ATTEMPTS: u32 = 8;
/// Attempts for a read that ran at an instance and failed.
const MAX_FAILED_READ_ATTEMPTS: u32 = 2;

/// Schedules another attempt on the same connection after the instance refused a statement inside
/// a transaction for lack of capacity.
pub fn retry_in_transaction(
    tables: &mut Tables,
    key: SessionKey,
    connection: ConnectionKey,
    now_us: u64,
) {
    let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) else {
        return;
    };
    request.stage = Stage::BackingOff { connection };
    request.attempts += 1;
    request.not_before_us = now_us + BUSY_BACKOFF_US;
    tables.timers.add(now_us + BUSY_BACKOFF_US, Timer::Session(key));
    tables.log_decision(
        DecisionKind::Retried,
        key,
        None,
        Some(ErrorCode::Busy),
        "the instance had no room for a statement inside a transaction",
        now_us,
    );
}

/// Handles an error response to a request without an open transaction: retries it if it had no
/// effect, and passes the error on otherwise.
pub fn handle_refusal(
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
    let is_write = request.is_write;
    record_refusal(tables, instance, code, now_us);
    let may_retry = match code {
        ErrorCode::Failed => !is_write && attempts < MAX_FAILED_READ_ATTEMPTS,
        _ => code.is_not_run() && attempts < MAX_ATTEMPTS,
    };
    if code == ErrorCode::Lagging {
        prefer_primary(tables, key);
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
    deliver_refusal(tables, key, instance, code, response, now_us);
}

fn deliver_refusal(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    response: Response,
    now_us: u64,
) {
    let reason = "the instance refused or failed the statement";
    tables.log_decision(DecisionKind::Failed, key, instance, Some(code), reason, now_us);
    if let Some(session) = tables.sessions.get_mut(key) {
        session.mark_rolled_back();
    }
    completion::deliver_response(tables, key, response, false, now_us);
}

fn record_refusal(
    tables: &mut Tables,
    instance: Option<InstanceKey>,
    code: ErrorCode,
    now_us: u64,
) {
    let Some(key) = instance else { return };
    match code {
        ErrorCode::Busy => {
            if let Some(row) = tables.instances.get_mut(key) {
                row.busy_until_us = now_us + BUSY_BACKOFF_US;
            }
            tables.timers.add(now_us + BUSY_BACKOFF_US, Timer::Wakeup);
        }
        ErrorCode::ReadOnly => report_not_primary(tables, key),
        ErrorCode::UnknownPrepared => clear_prepared(tables, key),
        _ => {}
    }
}

/// Sends the next attempt to the primary, because a replica was behind. Otherwise the request could
/// go from one lagging replica to the other and back.
fn prefer_primary(tables: &mut Tables, key: SessionKey) {
    if let Some(request) = tables.sessions.get_mut(key).and_then(|row| row.request.as_mut()) {
        request.prefers_primary = true;
    }
}

/// The instance lost prepared statements that this proxy had recorded for its connections.
fn clear_prepared(tables: &mut Tables, instance: InstanceKey) {
    for (_, connection) in tables.connections.iter_mut() {
        if connection.instance == instance {
            connection.prepared.clear();
        }
    }
}

pub fn report_not_primary(tables: &mut Tables, key: InstanceKey) {
    if !tables.is_serving_primary(key) {
        return;
    }
    let Some(instance) = tables.instances.get(key) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    tables
        .reports
        .push(Report::NotPrimary { replica_set: set.name.clone(), instance: instance.id.clone() });
}

/// Queues a request again. It must have had no effect.
pub fn retry(
    tables: &mut Tables,
    key: SessionKey,
    instance: Option<InstanceKey>,
    reason: &'static str,
    now_us: u64,
) {
    tables.log_decision(DecisionKind::Retried, key, instance, None, reason, now_us);
    tables.metric_events.push(MetricEvent::Retried);
    let Some(session) = tables.sessions.get_mut(key) else { return };
    let Some(request) = &mut session.request else { return };
    request.stage = Stage::Queued;
    request.attempts += 1;
    request.avoided_instance = instance;
    request.min_position = None;
    let Some(database) = tables.databases.get(&session.database) else {
        return completion::fail_request(
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
        set.queue.push(key);
    }
}
