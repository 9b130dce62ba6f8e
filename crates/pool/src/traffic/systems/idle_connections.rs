//! Decides which connections stay open while they are idle.
//!
//! After a power failure an instance counts the connections of dead hosts for some seconds, and the
//! same proxies come back before these time out. They can connect only if part of the instance's
//! connection limit was unused before.

use super::super::ReplicaState;
use super::super::instance::Instance;
use super::super::replica_set::ReplicaSet;
use super::super::tables::Tables;
use crate::{InstanceKey, rendezvous};

/// Idle time after which connections beyond the minimum are closed.
const IDLE_TIMEOUT_US: u64 = 2_000_000;
/// Idle timeout at an instance whose connection limit does not suffice for a connection of every
/// proxy.
const SCARCE_IDLE_TIMEOUT_US: u64 = 300_000;
/// Idle timeout while such an instance has reached its limit and other proxies may be waiting to
/// connect.
const EXHAUSTED_IDLE_TIMEOUT_US: u64 = 20_000;

/// Which idle connections to an instance stay open.
pub struct IdlePolicy {
    /// Number of connections that stay open.
    pub min_connections: usize,
    /// Idle time after which connections beyond that number are closed.
    pub idle_timeout_us: u64,
}

/// Returns the policy for this proxy's connections to an instance.
pub fn idle_policy(tables: &Tables, key: InstanceKey, now_us: u64) -> Option<IdlePolicy> {
    let instance = tables.instances.get(key)?;
    let set = tables.replica_sets.get(instance.replica_set)?;
    if set.min_connections > 0 {
        let min_connections = set.min_connections as usize;
        return Some(IdlePolicy { min_connections, idle_timeout_us: IDLE_TIMEOUT_US });
    }
    let keeps_one = match set.primary == Some(key) {
        true => is_monitor(tables, set, instance),
        false => is_assigned_replica(tables, set, key),
    };
    // Only the proxies that were refused know that an instance has reached its limit. After a power
    // loss it is likely to, so the others release their connections early too.
    let is_exhausted = now_us < instance.exhausted_until_us || tables.has_just_started(now_us);
    let idle_timeout_us =
        if is_exhausted { EXHAUSTED_IDLE_TIMEOUT_US } else { SCARCE_IDLE_TIMEOUT_US };
    Some(IdlePolicy { min_connections: usize::from(keeps_one), idle_timeout_us })
}

/// Whether this proxy is one of the few that keep a connection to a primary with scarce connections
/// in order to monitor it. The others connect when they have statements for it.
fn is_monitor(tables: &Tables, set: &ReplicaSet, instance: &Instance) -> bool {
    let monitors = (set.connections_limit / 6).max(1);
    rendezvous::is_selected(&tables.config.name, &instance.id, monitors, tables.view.proxies)
}

/// Whether a replica is the one that this proxy reads from in a set with scarce connections.
/// Rendezvous hashing spreads the proxies over the replicas; they use at most a third of the
/// connection limit.
fn is_assigned_replica(tables: &Tables, set: &ReplicaSet, key: InstanceKey) -> bool {
    let replicas = || set.instances.iter().copied().filter(|key| set.primary != Some(*key));
    let weight = |key: &InstanceKey| {
        let instance = tables.instances.get(*key);
        instance.map_or(0, |instance| rendezvous::weight(&tables.config.name, &instance.id))
    };
    let is_eligible = |key: &InstanceKey| {
        tables.instances.get(*key).is_some_and(|instance| {
            !instance.is_leaving
                && !instance.is_unreachable
                && matches!(instance.reported_state, ReplicaState::Unknown | ReplicaState::Used)
        })
    };
    let assigned = replicas().filter(is_eligible).max_by_key(weight);
    if assigned.or_else(|| replicas().max_by_key(weight)) != Some(key) {
        return false;
    }
    let readers = (set.connections_limit / 3).saturating_mul(replicas().count() as u32);
    rendezvous::is_selected(&tables.config.name, &set.name, readers, tables.view.proxies)
}
