//! Opens connections to instances and detects failures from their responses.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::super::connection::{Connection, ConnectionState};
use super::super::replica_set::PrimaryState;
use super::super::tables::{Tables, Timer};
use super::super::{Action, Command, MetricEvent, Report};
use super::{completion, connection_loss};
use crate::{ConnectionKey, ErrorCode, InstanceKey};

/// Time for TCP to be established. Round trips between hosts take milliseconds, but a lost packet
/// is sent again only after 200 ms or more.
const CONNECT_TIMEOUT_US: u64 = 350_000;
/// Time for an instance to accept the startup command, which waits for an execution slot there.
const START_TIMEOUT_US: u64 = 2_000_000;
/// Delay before the next attempt after a failed one, doubled with each failure.
const CONNECT_BACKOFF_US: u64 = 40_000;
/// Longest delay before the next attempt after a failed one.
const CONNECT_BACKOFF_MAX_US: u64 = 320_000;
/// Delay before the next attempt at an instance that has reached its connection limit.
const EXHAUSTED_BACKOFF_US: u64 = 100_000;
/// Time for which an instance counts as having reached its connection limit after it refused a
/// connection.
const EXHAUSTED_PERIOD_US: u64 = 1_000_000;
/// Delay before the next attempt at an address at which another instance responded.
const WRONG_INSTANCE_BACKOFF_US: u64 = 1_000_000;
/// Shortest time between two reports that a primary is alive.
const REPORT_INTERVAL_US: u64 = 100_000;

/// Opens a connection, or schedules a tick for when the backoff of the instance ends.
pub fn open(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    if now_us < instance.connect_after_us {
        let due_us = instance.connect_after_us;
        return tables.timers.add(due_us, Timer::Wakeup);
    }
    let address = instance.address;
    let connection = tables.connections.insert(Connection {
        instance: key,
        state: ConnectionState::Connecting,
        start_deadline_us: now_us + CONNECT_TIMEOUT_US,
        session: None,
        outstanding: Default::default(),
        variables: Vec::new(),
        prepared: Vec::new(),
        last_used_us: now_us,
    });
    instance.connections.push(connection);
    tables.metric_events.push(MetricEvent::ConnectionOpened);
    tables.timers.add(now_us + CONNECT_TIMEOUT_US, Timer::Connection(connection));
    tables.actions.push(Action::Connect { connection, address });
}

pub fn handle_connected(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    connection.state = ConnectionState::Starting;
    connection.start_deadline_us = now_us + START_TIMEOUT_US;
    connection.last_used_us = now_us;
    let Some(instance) = tables.instances.get(connection.instance) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    let command = Command::Start { replica_set: set.name.clone(), instance: instance.id.clone() };
    tables.timers.add(now_us + START_TIMEOUT_US, Timer::Connection(key));
    tables.actions.push(Action::Send { connection: key, command });
}

pub fn handle_started(
    tables: &mut Tables,
    key: ConnectionKey,
    position: Option<Position>,
    now_us: u64,
) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    connection.state = ConnectionState::Ready;
    let instance = connection.instance;
    let sent_us = connection.last_used_us;
    if let Some(row) = tables.instances.get_mut(instance) {
        row.connect_failures = 0;
        row.record_setup(now_us.saturating_sub(sent_us));
    }
    record_response(tables, instance, sent_us, position, now_us);
}

pub fn handle_refused(tables: &mut Tables, key: ConnectionKey, code: ErrorCode, now_us: u64) {
    let Some(connection) = tables.connections.get(key) else { return };
    let instance = connection.instance;
    completion::discard(tables, key);
    let Some(row) = tables.instances.get_mut(instance) else { return };
    if code == ErrorCode::ConnectionsExhausted {
        row.exhausted_until_us = now_us + EXHAUSTED_PERIOD_US;
    }
    row.connect_after_us = match code {
        ErrorCode::ConnectionsExhausted => now_us + EXHAUSTED_BACKOFF_US,
        ErrorCode::WrongInstance => now_us + WRONG_INSTANCE_BACKOFF_US,
        _ => now_us + CONNECT_BACKOFF_US,
    };
    if code == ErrorCode::WrongInstance {
        // Another instance uses the address, so the expected one is gone.
        suspect(tables, instance, now_us);
        mark_unreachable(tables, instance);
    }
}

/// Records that an instance accepts no more connections for now.
pub fn mark_exhausted(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    instance.exhausted_until_us = now_us + EXHAUSTED_PERIOD_US;
    instance.connect_after_us = now_us + EXHAUSTED_BACKOFF_US;
    let due_us = instance.connect_after_us;
    tables.timers.add(due_us, Timer::Wakeup);
}

/// Records that a connection could not be established, and backs off.
pub fn record_connect_failure(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    let backoff_us =
        (CONNECT_BACKOFF_US << instance.connect_failures.min(3)).min(CONNECT_BACKOFF_MAX_US);
    instance.connect_failures += 1;
    instance.connect_after_us = now_us + backoff_us;
    let due_us = instance.connect_after_us;
    tables.timers.add(due_us, Timer::Wakeup);
    suspect(tables, key, now_us);
    mark_unreachable(tables, key);
}

/// Suspects an instance of having failed. Its next response clears the suspicion.
pub fn suspect(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    if let Some(instance) = tables.instances.get_mut(key) {
        instance.suspected_since_us.get_or_insert(now_us);
    }
}

/// Concludes that an instance is unreachable from this proxy.
fn mark_unreachable(tables: &mut Tables, key: InstanceKey) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    if instance.is_unreachable {
        return;
    }
    instance.is_unreachable = true;
    connection_loss::report_primary_unreachable(tables, key);
}

/// Records a position that another proxy has seen at the primary. This proxy's permit tells that it
/// knows of every failover that has begun since.
pub fn record_shared_position(
    tables: &mut Tables,
    name: &Bytes,
    term: Term,
    at_us: u64,
    position: Position,
) {
    let Some(key) = tables.replica_set_by_name(name) else { return };
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    if set.state == PrimaryState::Serving && set.term == term {
        set.positions.record(at_us, position);
        set.term_start_position.get_or_insert(position);
    }
}

/// Records that an instance responded at `now_us` to a command sent at `sent_us`, with the log
/// position that it reported.
pub fn record_response(
    tables: &mut Tables,
    key: InstanceKey,
    sent_us: u64,
    position: Option<Position>,
    now_us: u64,
) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    instance.last_response_us = now_us;
    instance.suspected_since_us = None;
    let was_unreachable = core::mem::take(&mut instance.is_unreachable);
    if let Some(position) = position {
        instance.observed_position = Some((now_us, position));
    }
    let set_key = instance.replica_set;
    let has_permit = tables.config.permit.is_valid(now_us);
    let Some(set) = tables.replica_sets.get_mut(set_key) else { return };
    if set.primary != Some(key) {
        return;
    }
    if let (PrimaryState::Serving, true, Some(position)) = (set.state, has_permit, position) {
        set.positions.record(sent_us, position);
        set.term_start_position.get_or_insert(position);
    }
    if was_unreachable || now_us >= instance.alive_reported_us + REPORT_INTERVAL_US {
        instance.alive_reported_us = now_us;
        tables.reports.push(Report::PrimaryAlive {
            replica_set: set.name.clone(),
            instance: instance.id.clone(),
            at_us: sent_us,
            position,
        });
    }
}
