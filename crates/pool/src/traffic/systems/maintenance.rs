//! Keeps connections open, and probes instances to detect failures.

use bytes::Bytes;

use super::super::connection::{Connection, ConnectionState, Outstanding};
use super::super::instance::Instance;
use super::super::tables::{Tables, Timer};
use super::super::{Action, Command, MetricEvent};
use super::idle_connections::{self, IdlePolicy};
use super::{connection_loss, connections, overload_reports, replica_reports};
use crate::{ConnectionKey, InstanceKey};

/// Time between two runs.
const INTERVAL_US: u64 = 100_000;
/// Time without any response, while one is outstanding, after which an instance is suspected and
/// another connection is tried.
const RESPONSE_TIMEOUT_US: u64 = 250_000;
/// Time without a response after which a connection is closed, even if its instance responds on
/// others.
const CONNECTION_RESPONSE_TIMEOUT_US: u64 = 600_000;
/// Time since the last response after which a primary is probed.
const PRIMARY_PROBE_US: u64 = 250_000;
/// Time since the last response after which a replica is probed whose set serves stale reads.
const REPLICA_PROBE_US: u64 = 400_000;
/// Time since the last response after which a replica is probed whose set serves none.
const IDLE_PROBE_US: u64 = 2_000_000;
/// A set counts as serving stale reads for this time after the last one.
const STALE_READ_WINDOW_US: u64 = 5_000_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    if now_us < tables.next_maintenance_us || tables.instances.is_empty() {
        return;
    }
    tables.next_maintenance_us = now_us + INTERVAL_US;
    tables.timers.add(tables.next_maintenance_us, Timer::Wakeup);
    for key in tables.instances.keys_where(|_| true) {
        maintain(tables, key, now_us);
        replica_reports::report_change(tables, key, now_us);
    }
    overload_reports::run(tables, now_us);
}

fn maintain(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    close_timed_out(tables, key, now_us);
    let Some(IdlePolicy { min_connections: retained, idle_timeout_us }) =
        idle_connections::idle_policy(tables, key, now_us)
    else {
        return;
    };
    close_excess_idle(tables, key, retained, idle_timeout_us, now_us);
    let Some(instance) = tables.instances.get(key) else { return };
    if instance.connections.is_empty() {
        // A suspected instance is tried until it responds.
        let is_suspected = instance.is_unreachable || instance.suspected_since_us.is_some();
        if retained > 0 || is_suspected {
            connections::open(tables, key, now_us);
        }
        return;
    }
    if is_unresponsive(tables, instance, now_us) {
        connections::suspect(tables, key, now_us);
        let Some(instance) = tables.instances.get(key) else { return };
        if tables.opening_connections(instance) == 0 {
            connections::open(tables, key, now_us);
        }
        return;
    }
    let probe_after_us = probe_delay_us(tables, key, instance, now_us);
    if now_us >= instance.last_response_us + probe_after_us {
        probe(tables, key, now_us);
    }
}

fn probe_delay_us(tables: &Tables, key: InstanceKey, instance: &Instance, now_us: u64) -> u64 {
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return IDLE_PROBE_US };
    if set.primary == Some(key) {
        return PRIMARY_PROBE_US;
    }
    match now_us < set.last_stale_read_us + STALE_READ_WINDOW_US {
        true => REPLICA_PROBE_US,
        false => IDLE_PROBE_US,
    }
}

/// Whether a response has been outstanding for too long without any other response from the
/// instance.
fn is_unresponsive(tables: &Tables, instance: &Instance, now_us: u64) -> bool {
    let oldest_us = instance
        .connections
        .iter()
        .filter_map(|key| tables.connections.get(*key)?.outstanding.front())
        .map(|(sent_us, _)| *sent_us)
        .min();
    oldest_us.is_some_and(|sent_us| {
        now_us >= sent_us.max(instance.last_response_us) + RESPONSE_TIMEOUT_US
    })
}

/// Sends a probe, which takes no execution slot, on an idle connection.
fn probe(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    if has_outstanding_probe(tables, key) {
        return;
    }
    let Some(connection) = tables.idle_connection(key, &[]) else { return };
    if let Some(row) = tables.connections.get_mut(connection) {
        row.variables.clear();
        row.prepared.clear();
    }
    tables.metric_events.push(MetricEvent::Probed);
    tables.send(connection, Outstanding::Probe, Command::Reset, now_us);
}

fn has_outstanding_probe(tables: &Tables, key: InstanceKey) -> bool {
    let Some(instance) = tables.instances.get(key) else { return true };
    instance.connections.iter().any(|key| {
        tables.connections.get(*key).is_some_and(|connection| {
            connection.outstanding.iter().any(|(_, what)| *what == Outstanding::Probe)
        })
    })
}

/// Probes a primary that another proxy suspects, or connects to it. Its next response is reported
/// at once.
pub fn probe_primary(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let primary = tables
        .replica_set_by_name(name)
        .and_then(|key| tables.replica_sets.get(key))
        .and_then(|set| set.primary);
    if let Some(key) = primary {
        if let Some(instance) = tables.instances.get_mut(key) {
            instance.alive_reported_us = 0;
        }
        let is_unconnected =
            tables.instances.get(key).is_some_and(|instance| instance.connections.is_empty());
        match is_unconnected {
            true => connections::open(tables, key, now_us),
            false => probe(tables, key, now_us),
        }
    }
}

/// Closes connections on which a command has had no response for too long, even if the instance
/// responds on others. Connections with a running statement are left alone, because it may take
/// long; instances respond to probes at once.
fn close_timed_out(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let has_timed_out = |key: &ConnectionKey| {
        let Some(connection) = tables.connections.get(*key) else { return false };
        let Some((sent_us, what)) = connection.outstanding.front() else { return false };
        !matches!(what, Outstanding::Statement)
            && now_us >= sent_us + CONNECTION_RESPONSE_TIMEOUT_US
    };
    let timed_out: Vec<_> = instance.connections.iter().copied().filter(has_timed_out).collect();
    for connection in timed_out {
        connection_loss::close_failed(tables, connection, now_us);
    }
}

/// Closes idle connections beyond those that are retained.
fn close_excess_idle(
    tables: &mut Tables,
    key: InstanceKey,
    retained: usize,
    idle_timeout_us: u64,
    now_us: u64,
) {
    let Some(instance) = tables.instances.get(key) else { return };
    let excess = instance.connections.len().saturating_sub(retained);
    let is_idle_too_long = |key: &ConnectionKey| {
        tables.connections.get(*key).is_some_and(|connection: &Connection| {
            connection.state == ConnectionState::Ready
                && connection.is_idle()
                && now_us >= connection.last_used_us + idle_timeout_us
        })
    };
    let closed: Vec<_> =
        instance.connections.iter().copied().filter(is_idle_too_long).take(excess).collect();
    for connection in closed {
        tables.remove_connection(connection);
        tables.actions.push(Action::CloseConnection { connection });
    }
}
