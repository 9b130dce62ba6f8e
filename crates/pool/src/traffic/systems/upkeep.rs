//! Keeps connections open and looks for silent instances.

use bytes::Bytes;

use super::super::connection::{Connection, ConnectionState, Outstanding};
use super::super::instance::Instance;
use super::super::tables::{Due, Tables};
use super::super::{Action, Command, MetricEvent};
use super::keeping::{self, Keeping};
use super::{connections, losses, relief, replica_watch};
use crate::{ConnectionKey, InstanceKey};

/// Interval of the upkeep.
const INTERVAL_US: u64 = 100_000;
/// Silence of an instance with an answer outstanding after which a new connection is tried.
const SILENCE_US: u64 = 250_000;
/// Silence of a connection after which it is closed although its instance lives.
const CONNECTION_SILENCE_US: u64 = 600_000;
/// Silence after which an idle primary is probed.
const PRIMARY_PROBE_US: u64 = 250_000;
/// Silence after which an idle replica that serves reads is probed.
const REPLICA_PROBE_US: u64 = 400_000;
/// Silence after which an instance is probed whose set serves no stale reads.
const IDLE_PROBE_US: u64 = 2_000_000;
/// Time since the last stale read after which a set counts as serving none.
const STALE_READS_US: u64 = 5_000_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    if now_us < tables.upkeep_us || tables.instances.is_empty() {
        return;
    }
    tables.upkeep_us = now_us + INTERVAL_US;
    tables.due.add(tables.upkeep_us, Due::Systems);
    for key in tables.instances.keys_where(|_| true) {
        keep(tables, key, now_us);
        replica_watch::observe(tables, key, now_us);
    }
    relief::run(tables, now_us);
}

fn keep(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    close_silent(tables, key, now_us);
    let Some(Keeping { connections: kept, idle_us }) = keeping::keeping(tables, key, now_us) else {
        return;
    };
    close_surplus(tables, key, kept, idle_us, now_us);
    let Some(instance) = tables.instances.get(key) else { return };
    if instance.connections.is_empty() {
        // One that is in trouble is tried until it answers.
        let is_in_trouble = instance.is_lost || instance.suspect_since_us.is_some();
        if kept > 0 || is_in_trouble {
            connections::open(tables, key, now_us);
        }
        return;
    }
    if is_silent(tables, instance, now_us) {
        connections::suspect(tables, key, now_us);
        let Some(instance) = tables.instances.get(key) else { return };
        if tables.opening(instance) == 0 {
            connections::open(tables, key, now_us);
        }
        return;
    }
    let probe_after_us = probe_interval_us(tables, key, instance, now_us);
    if now_us >= instance.heard_us + probe_after_us {
        probe(tables, key, now_us);
    }
}

fn probe_interval_us(tables: &Tables, key: InstanceKey, instance: &Instance, now_us: u64) -> u64 {
    let Some(set) = tables.replica_sets.get(instance.replica_set) else { return IDLE_PROBE_US };
    if set.primary == Some(key) {
        return PRIMARY_PROBE_US;
    }
    match now_us < set.stale_read_us + STALE_READS_US {
        true => REPLICA_PROBE_US,
        false => IDLE_PROBE_US,
    }
}

/// Whether an answer has been outstanding for too long without any sign of life.
fn is_silent(tables: &Tables, instance: &Instance, now_us: u64) -> bool {
    let oldest_us = instance
        .connections
        .iter()
        .filter_map(|key| tables.connections.get(*key)?.outstanding.front())
        .map(|(sent_us, _)| *sent_us)
        .min();
    oldest_us.is_some_and(|sent_us| now_us >= sent_us.max(instance.heard_us) + SILENCE_US)
}

/// Sends a command that costs no slot on an idle connection.
fn probe(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    if is_probed(tables, key) {
        return;
    }
    let Some(connection) = tables.idle_connection(key, &[]) else { return };
    if let Some(row) = tables.connections.get_mut(connection) {
        row.values.clear();
        row.prepared.clear();
    }
    tables.metric_events.push(MetricEvent::Probed);
    tables.send(connection, Outstanding::Probe, Command::Reset, now_us);
}

fn is_probed(tables: &Tables, key: InstanceKey) -> bool {
    let Some(instance) = tables.instances.get(key) else { return true };
    instance.connections.iter().any(|key| {
        tables.connections.get(*key).is_some_and(|connection| {
            connection.outstanding.iter().any(|(_, what)| *what == Outstanding::Probe)
        })
    })
}

/// Probes a primary that another proxy misses, unless it has just been heard.
pub fn probe_primary(tables: &mut Tables, name: &Bytes, now_us: u64) {
    let primary = tables
        .replica_set_named(name)
        .and_then(|key| tables.replica_sets.get(key))
        .and_then(|set| set.primary);
    if let Some(key) = primary {
        if let Some(instance) = tables.instances.get_mut(key) {
            instance.reported_us = 0;
        }
        let has_none =
            tables.instances.get(key).is_some_and(|instance| instance.connections.is_empty());
        match has_none {
            true => connections::open(tables, key, now_us),
            false => probe(tables, key, now_us),
        }
    }
}

/// Closes connections that are silent while their instance answers on others. A statement that runs
/// long there is left alone; probes are answered at once.
fn close_silent(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let is_dead = |key: &ConnectionKey| {
        let Some(connection) = tables.connections.get(*key) else { return false };
        let Some((sent_us, what)) = connection.outstanding.front() else { return false };
        !matches!(what, Outstanding::Statement) && now_us >= sent_us + CONNECTION_SILENCE_US
    };
    let dead: Vec<_> = instance.connections.iter().copied().filter(is_dead).collect();
    for connection in dead {
        losses::lose_and_close(tables, connection, now_us);
    }
}

/// Closes idle connections beyond those that are kept.
fn close_surplus(tables: &mut Tables, key: InstanceKey, kept: usize, idle_us: u64, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    let surplus = instance.connections.len().saturating_sub(kept);
    let is_old = |key: &ConnectionKey| {
        tables.connections.get(*key).is_some_and(|connection: &Connection| {
            connection.state == ConnectionState::Ready
                && connection.is_idle()
                && now_us >= connection.last_used_us + idle_us
        })
    };
    let closed: Vec<_> =
        instance.connections.iter().copied().filter(is_old).take(surplus).collect();
    for connection in closed {
        tables.drop_connection(connection);
        tables.actions.push(Action::CloseConnection { connection });
    }
}
