//! Sends heartbeats to peers.

use std::sync::Arc;

use rand::RngExt;

use crate::HostId;
use crate::control::Action;
use crate::control::tables::{RING_SUCCESSORS, SMALL_FLEET_MAX_PEERS, Tables};
use crate::message::{Heartbeat, OwnedDatabase};

const INTERVAL_US: u64 = 150_000;
/// Random peers that get a heartbeat in a large fleet, besides the ring successors.
const RANDOM_RECEIVERS: usize = 2;
/// Time for which a replaced standby still gets every heartbeat. Heartbeats show it that its
/// reservation has been withdrawn; without them it would suspect this host and take over.
const FORMER_STANDBY_GRACE_US: u64 = 2_000_000;
/// Maximum number of ownership changes in a heartbeat, which keeps the datagram small after the
/// loss of a data centre. Later heartbeats carry the others.
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
    // If there are more updates than fit, the next heartbeat starts with those left out.
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

/// In a small fleet, all peers. In a larger one: the ring successors, which detect this host's
/// failure; the current and recent standbys of its databases, which take over from it; and a few
/// random peers.
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
