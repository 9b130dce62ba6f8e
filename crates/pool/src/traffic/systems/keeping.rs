//! Decides which connections stay open while nothing uses them.
//!
//! Answers the load after a loss of power: an instance counts the connections of dead hosts for some
//! seconds, and the same proxies come back before that time is over. They find room only if a part of
//! its places was free before.

use super::super::ReplicaState;
use super::super::instance::Instance;
use super::super::replica_set::ReplicaSet;
use super::super::tables::Tables;
use crate::{InstanceKey, rendezvous};

/// Idle time after which connections beyond those that are kept are closed.
const SURPLUS_IDLE_US: u64 = 2_000_000;
/// The same at an instance that has fewer places than the fleet would fill.
const CROWDED_IDLE_US: u64 = 300_000;
/// The same while such an instance has no place free: others wait for one.
const EXHAUSTED_IDLE_US: u64 = 20_000;

/// What is kept open at an instance.
pub struct Keeping {
    /// Connections that stay open.
    pub connections: usize,
    /// Idle time after which others are closed.
    pub idle_us: u64,
}

/// What this proxy keeps open at an instance.
pub fn keeping(tables: &Tables, key: InstanceKey, now_us: u64) -> Option<Keeping> {
    let instance = tables.instances.get(key)?;
    let set = tables.replica_sets.get(instance.replica_set)?;
    if set.connections_kept > 0 {
        let connections = set.connections_kept as usize;
        return Some(Keeping { connections, idle_us: SURPLUS_IDLE_US });
    }
    let is_kept = match set.primary == Some(key) {
        true => is_watched(tables, set, instance),
        false => is_home(tables, set, key),
    };
    let is_exhausted = now_us < instance.exhausted_until_us;
    let idle_us = if is_exhausted { EXHAUSTED_IDLE_US } else { CROWDED_IDLE_US };
    Some(Keeping { connections: usize::from(is_kept), idle_us })
}

/// Whether this proxy is one of the few that watch a crowded primary while they have no work for it.
/// The others connect when they have some.
fn is_watched(tables: &Tables, set: &ReplicaSet, instance: &Instance) -> bool {
    let watchers = (set.connections_limit / 6).max(1);
    rendezvous::is_selected(&tables.config.name, &instance.id, watchers, tables.view.proxies)
}

/// Whether a replica is the one of a crowded set that this proxy reads from. The proxies spread over
/// the replicas, and fill half of the places at most.
fn is_home(tables: &Tables, set: &ReplicaSet, key: InstanceKey) -> bool {
    let replicas = || set.instances.iter().copied().filter(|key| set.primary != Some(*key));
    let weight = |key: &InstanceKey| {
        let instance = tables.instances.get(*key);
        instance.map_or(0, |instance| rendezvous::weight(&tables.config.name, &instance.id))
    };
    let is_eligible = |key: &InstanceKey| {
        tables.instances.get(*key).is_some_and(|instance| {
            !instance.is_leaving
                && !instance.is_lost
                && matches!(instance.reported_state, ReplicaState::Unknown | ReplicaState::Used)
        })
    };
    let home = replicas().filter(is_eligible).max_by_key(weight);
    if home.or_else(|| replicas().max_by_key(weight)) != Some(key) {
        return false;
    }
    let readers = set.connections_limit / 2 * replicas().count() as u32;
    rendezvous::is_selected(&tables.config.name, &set.name, readers, tables.view.proxies)
}
