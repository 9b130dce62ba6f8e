//! Connections to instances and the signs of life that come over them.

use flamingorock_core::Position;

use super::super::connection::{Connection, ConnectionState};
use super::super::replica_set::PrimaryState;
use super::super::tables::{Due, Tables};
use super::super::{Action, Command, MetricEvent, Report};
use super::{ending, losses};
use crate::{ConnectionKey, ErrorCode, InstanceKey};

/// Time for TCP to be established. Hosts are milliseconds apart; a lost packet is sent again after
/// 200 ms or more.
const CONNECT_TIMEOUT_US: u64 = 350_000;
/// Time for an instance to accept a connection, which waits for a slot there.
const START_TIMEOUT_US: u64 = 2_000_000;
/// Delay before a failed connection is tried again, doubled with each failure.
const CONNECT_BACKOFF_US: u64 = 40_000;
/// Largest delay before a failed connection is tried again.
const CONNECT_BACKOFF_MAX_US: u64 = 320_000;
/// Delay before an instance whose connections are exhausted is asked for one again.
const EXHAUSTED_BACKOFF_US: u64 = 100_000;
/// Time for which an instance counts as exhausted after it has refused a connection.
const EXHAUSTED_US: u64 = 1_000_000;
/// Delay before an address is tried again at which another instance answered.
const WRONG_INSTANCE_BACKOFF_US: u64 = 1_000_000;
/// Shortest interval of reports that the primary lives.
const REPORT_INTERVAL_US: u64 = 100_000;

/// Opens one more connection, unless that has failed just now.
pub fn open(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    if now_us < instance.connect_after_us {
        let due_us = instance.connect_after_us;
        return tables.due.add(due_us, Due::Systems);
    }
    let address = instance.address;
    let connection = tables.connections.insert(Connection {
        instance: key,
        state: ConnectionState::Connecting,
        start_deadline_us: now_us + CONNECT_TIMEOUT_US,
        session: None,
        outstanding: Default::default(),
        values: Vec::new(),
        prepared: Vec::new(),
        last_used_us: now_us,
    });
    instance.connections.push(connection);
    tables.metric_events.push(MetricEvent::ConnectionOpened);
    tables.due.add(now_us + CONNECT_TIMEOUT_US, Due::Connection(connection));
    tables.actions.push(Action::Connect { connection, address });
}

pub fn connected(tables: &mut Tables, key: ConnectionKey, now_us: u64) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    connection.state = ConnectionState::Starting;
    connection.start_deadline_us = now_us + START_TIMEOUT_US;
    connection.last_used_us = now_us;
    let Some(instance) = tables.instances.get(connection.instance) else { return };
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return };
    let command = Command::Start { replica_set: set.name.clone(), instance: instance.id.clone() };
    tables.due.add(now_us + START_TIMEOUT_US, Due::Connection(key));
    tables.actions.push(Action::Send { connection: key, command });
}

pub fn started(tables: &mut Tables, key: ConnectionKey, position: Option<Position>, now_us: u64) {
    let Some(connection) = tables.connections.get_mut(key) else { return };
    connection.state = ConnectionState::Ready;
    let instance = connection.instance;
    let asked_us = connection.last_used_us;
    if let Some(row) = tables.instances.get_mut(instance) {
        row.connect_failures = 0;
    }
    hear(tables, instance, asked_us, position, now_us);
}

pub fn refused(tables: &mut Tables, key: ConnectionKey, code: ErrorCode, now_us: u64) {
    let Some(connection) = tables.connections.get(key) else { return };
    let instance = connection.instance;
    ending::discard(tables, key);
    let Some(row) = tables.instances.get_mut(instance) else { return };
    if code == ErrorCode::ConnectionsExhausted {
        row.exhausted_until_us = now_us + EXHAUSTED_US;
    }
    row.connect_after_us = match code {
        ErrorCode::ConnectionsExhausted => now_us + EXHAUSTED_BACKOFF_US,
        ErrorCode::WrongInstance => now_us + WRONG_INSTANCE_BACKOFF_US,
        _ => now_us + CONNECT_BACKOFF_US,
    };
    if code == ErrorCode::WrongInstance {
        // Another instance lives at the address: the one that is meant does not.
        suspect(tables, instance, now_us);
        mark_lost(tables, instance);
    }
}

/// An instance takes no more connections for now.
pub fn back_off(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    instance.exhausted_until_us = now_us + EXHAUSTED_US;
    instance.connect_after_us = now_us + EXHAUSTED_BACKOFF_US;
    let due_us = instance.connect_after_us;
    tables.due.add(due_us, Due::Systems);
}

/// A connection could not be established.
pub fn note_start_failure(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    let backoff_us =
        (CONNECT_BACKOFF_US << instance.connect_failures.min(3)).min(CONNECT_BACKOFF_MAX_US);
    instance.connect_failures += 1;
    instance.connect_after_us = now_us + backoff_us;
    let due_us = instance.connect_after_us;
    tables.due.add(due_us, Due::Systems);
    suspect(tables, key, now_us);
    mark_lost(tables, key);
}

/// Notes that an instance may be dead. A sign of life clears the suspicion.
pub fn suspect(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    if let Some(instance) = tables.instances.get_mut(key) {
        instance.suspect_since_us.get_or_insert(now_us);
    }
}

/// Concludes that an instance cannot be reached from here.
fn mark_lost(tables: &mut Tables, key: InstanceKey) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    if instance.is_lost {
        return;
    }
    instance.is_lost = true;
    losses::report_lost(tables, key);
}

/// Notes an answer of an instance: it lives, and its log has this position.
pub fn hear(
    tables: &mut Tables,
    key: InstanceKey,
    asked_us: u64,
    position: Option<Position>,
    now_us: u64,
) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    instance.heard_us = now_us;
    instance.suspect_since_us = None;
    let was_lost = core::mem::take(&mut instance.is_lost);
    if let Some(position) = position {
        instance.seen = Some((now_us, position));
    }
    let set_key = instance.replica_set;
    let permitted = tables.config.permit.is_valid(now_us);
    let Some(set) = tables.replica_sets.get_mut(set_key) else { return };
    if set.primary != Some(key) {
        return;
    }
    if let (PrimaryState::Serving, true, Some(position)) = (set.state, permitted, position) {
        set.positions.record(asked_us, position);
        set.term_start.get_or_insert(position);
    }
    if was_lost || now_us >= instance.reported_us + REPORT_INTERVAL_US {
        instance.reported_us = now_us;
        tables.reports.push(Report::PrimaryAlive {
            replica_set: set.name.clone(),
            instance: instance.id.clone(),
            at_us: asked_us,
            position,
        });
    }
}
