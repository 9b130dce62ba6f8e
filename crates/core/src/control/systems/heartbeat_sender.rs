//! Sends heartbeats.

use std::sync::Arc;

use rand::RngExt;

use crate::HostId;
use crate::control::Action;
use crate::control::tables::{RING_SUCCESSORS, SMALL_FLEET_MAX_PEERS, Tables};
use crate::message::{Heartbeat, OwnedDatabase};

const INTERVAL_US: u64 = 150_000;
/// Peers besides the ring successors that get a heartbeat in a large fleet.
const RANDOM_RECEIVERS: usize = 2;
/// Time for which a replaced standby still gets heartbeats. It learns from them that its reservation
/// is gone; silence would make it suspect this host and take over.
const FORMER_STANDBY_GRACE_US: u64 = 2_000_000;
/// Ownership changes in a heartbeat, so that the datagram stays small after the loss of a data
/// centre. Those left out are carried by the next ones.
const MAX_UPDATES: usize = 32;

pub(crate) fn run(tables: &mut Tables) {
    let now_us = tables.now_us;
    if tables.timers.heartbeat.take_expired(now_us).is_empty() {
        return;
    }
    tables.timers.heartbeat.set((), now_us + INTERVAL_US);
    let to = receivers(tables);
    if to.is_empty() {
        return;
    }
    tables.heartbeat_sequence += 1;
    tables.counters.heartbeats_sent += to.len() as u64;
    let heartbeat = Arc::new(build(tables));
    tables.actions.push(Action::SendHeartbeat { to, heartbeat });
}

fn build(tables: &mut Tables) -> Heartbeat {
    let now_us = tables.now_us;
    tables.ownership_updates.retain(|&(_, until_us)| until_us > now_us);
    let updates =
        tables.ownership_updates.iter().take(MAX_UPDATES).map(|&(update, _)| update).collect();
    // The next heartbeat carries the next updates, if there are more than one can.
    let carried = tables.ownership_updates.len().min(MAX_UPDATES);
    tables.ownership_updates.rotate_left(carried);
    let owned = tables.owned.iter().map(|(&database, owned)| OwnedDatabase {
        database,
        epoch: owned.epoch,
        standby: owned.standby.map(|standby| standby.host),
        standby_epoch: owned.standby.map_or(0, |standby| standby.epoch),
        primary_index: owned.last_primary,
    });
    Heartbeat {
        host: tables.config.host,
        incarnation: tables.config.incarnation,
        sequence: tables.heartbeat_sequence,
        configuration_version: tables.configuration.current.version,
        draining: tables.draining,
        owned: owned.collect(),
        updates,
        heard: tables.hosts.recently_heard(now_us),
    }
}

/// All peers of a small fleet. In a larger one the ring successors, which judge this host's life, the
/// standbys of its databases, which replace it, those they were until lately, and a few others.
fn receivers(tables: &mut Tables) -> Vec<HostId> {
    if tables.hosts.len() <= SMALL_FLEET_MAX_PEERS {
        return tables.hosts.iter().map(|(host, _)| host).collect();
    }
    let host = tables.config.host;
    let mut ring: Vec<HostId> = tables.hosts.iter().map(|(peer, _)| peer).collect();
    ring.sort_by_key(|peer| peer.0.wrapping_sub(host.0));
    let others = ring.split_off(RING_SUCCESSORS);
    let now_us = tables.now_us;
    for standby in tables.owned.values().filter_map(|owned| owned.standby) {
        tables.standby_receivers.insert(standby.host, now_us + FORMER_STANDBY_GRACE_US);
    }
    tables.standby_receivers.retain(|_, until_us| *until_us > now_us);
    ring.extend(tables.standby_receivers.keys());
    for _ in 0..RANDOM_RECEIVERS {
        ring.push(others[tables.rng.random_range(0..others.len())]);
    }
    ring.sort_unstable();
    ring.dedup();
    ring
}
