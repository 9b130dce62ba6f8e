//! Table of peers.

use std::collections::BTreeMap;

use super::host::{Host, HostState, RECENT_HEARTBEAT_US};
use crate::{DatabaseId, HostId};

/// Greatest number of peers at which every heartbeat is sent to all of them.
pub(crate) const SMALL_FLEET_MAX_PEERS: usize = 8;
/// In a larger fleet, the number of following hosts in the ring that get every heartbeat.
pub(crate) const RING_SUCCESSORS: usize = 4;
/// Delay of a takeover if the standby hears from no majority of the fleet (itself counted). Such a
/// standby is more likely partitioned, and out of reach of callers, than the only survivor. The
/// delay and the suspicion timeout together stay below the 5 s target for a service gap.
const MINORITY_TAKEOVER_DELAY_US: u64 = 3_000_000;

/// All peers in the settings, by host number.
#[derive(Debug, Default)]
pub(crate) struct HostTable {
    rows: BTreeMap<HostId, Host>,
}

impl HostTable {
    pub(crate) fn new(host: HostId, peers: &[HostId], now_us: u64) -> Self {
        let mut before: Vec<HostId> = peers.to_vec();
        // Ring order, starting with the nearest predecessor of this host.
        before.sort_by_key(|peer| host.0.wrapping_sub(peer.0));
        let is_small = peers.len() <= SMALL_FLEET_MAX_PEERS;
        let rows = before.iter().enumerate().map(|(distance, &peer)| {
            (peer, Host::new(is_small || distance < RING_SUCCESSORS, now_us))
        });
        Self { rows: rows.collect() }
    }

    pub(crate) fn get(&self, host: HostId) -> Option<&Host> {
        self.rows.get(&host)
    }

    pub(crate) fn get_mut(&mut self, host: HostId) -> Option<&mut Host> {
        self.rows.get_mut(&host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (HostId, &Host)> {
        self.rows.iter().map(|(&host, row)| (host, row))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (HostId, &mut Host)> {
        self.rows.iter_mut().map(|(&host, row)| (host, row))
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn is_suspected(&self, host: HostId) -> bool {
        self.rows.get(&host).is_none_or(|row| row.state == HostState::Suspected)
    }

    /// Whether the host can own a database: it is alive and not draining.
    pub(crate) fn is_eligible(&self, host: HostId) -> bool {
        self.rows.get(&host).is_some_and(|row| row.state == HostState::Alive && !row.draining)
    }

    /// Peers whose own heartbeat arrived within [`RECENT_HEARTBEAT_US`].
    pub(crate) fn recently_heard(&self, now_us: u64) -> Vec<HostId> {
        self.iter()
            .filter(|(_, row)| {
                row.last_heartbeat_at_us.is_some_and(|at_us| at_us + RECENT_HEARTBEAT_US >= now_us)
            })
            .map(|(host, _)| host)
            .collect()
    }

    /// Whether this host and the direct peers with a recent heartbeat are a majority of this host
    /// and all its direct peers. In a small fleet all peers are direct.
    pub(crate) fn hears_from_majority(&self, now_us: u64) -> bool {
        let direct = || self.rows.values().filter(|row| row.is_direct);
        let is_recent = |row: &&Host| {
            row.last_heartbeat_at_us.is_some_and(|at_us| at_us + RECENT_HEARTBEAT_US >= now_us)
        };
        (direct().filter(is_recent).count() + 1) * 2 > direct().count() + 1
    }

    /// Time that a standby waits before it takes over from a suspected owner. With a single peer
    /// there is no delay: two hosts alone cannot tell a crash from a partition.
    pub(crate) fn takeover_delay_us(&self, now_us: u64) -> u64 {
        if self.len() < 2 || self.hears_from_majority(now_us) {
            0
        } else {
            MINORITY_TAKEOVER_DELAY_US
        }
    }

    /// The eligible peer with the highest rendezvous weight for a database.
    pub(crate) fn first_eligible(&self, database: DatabaseId) -> Option<HostId> {
        self.iter()
            .filter(|(_, row)| row.state == HostState::Alive && !row.draining)
            .map(|(host, _)| host)
            .max_by_key(|&host| rendezvous_weight(database.as_u32(), host))
    }

    /// Number of eligible peers with a higher rendezvous weight for the key than the given host.
    pub(crate) fn rank(&self, key: u32, host: HostId) -> u64 {
        let weight = rendezvous_weight(key, host);
        let before = self.iter().filter(|&(peer, row)| {
            row.state == HostState::Alive && !row.draining && rendezvous_weight(key, peer) > weight
        });
        before.count() as u64
    }
}

/// Weight of a host for a key in rendezvous (highest random weight) hashing, computed with the
/// finaliser of SplitMix64. The host number breaks ties.
fn rendezvous_weight(key: u32, host: HostId) -> (u64, HostId) {
    let mut hash = (u64::from(key) << 16 | u64::from(host.0)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ hash >> 31, host)
}
