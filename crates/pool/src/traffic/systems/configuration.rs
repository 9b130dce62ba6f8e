//! Applies a new view of the configuration, instances and primaries to the tables.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::ReplicaState;
use super::super::congestion::Congestion;
use super::super::database::Database;
use super::super::instance::Instance;
use super::super::position_history::PositionHistory;
use super::super::refusal_rate::RefusalRate;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::session::Transaction;
use super::super::tables::{Tables, Timer};
use super::{completion, connection_loss, connections, sessions};
use crate::{
    ErrorCode, InstanceKey, InstanceView, PoolView, PrimaryView, ReplicaSetKey, ReplicaSetView,
};

pub fn apply(tables: &mut Tables, view: Arc<PoolView>, now_us: u64) {
    if view.sequence < tables.view.sequence {
        return;
    }
    tables.view = Arc::clone(&view);
    for set in &view.replica_sets {
        apply_set(tables, set, now_us);
    }
    remove_missing_sets(tables, &view, now_us);
    apply_databases(tables, &view);
    requeue(tables, now_us);
    accept_pending(tables);
}

fn apply_set(tables: &mut Tables, view: &ReplicaSetView, now_us: u64) {
    let key = match tables.replica_set_by_name(&view.name) {
        Some(key) => key,
        None => tables.replica_sets.insert(new_set(view.name.clone())),
    };
    apply_instances(tables, key, view, now_us);
    apply_limits(tables, key);
    apply_primary(tables, key, &view.primary, now_us);
}

fn new_set(name: Bytes) -> ReplicaSet {
    ReplicaSet {
        name,
        instances: Vec::new(),
        primary: None,
        state: PrimaryState::Unknown,
        term: Term::default(),
        positions: PositionHistory::default(),
        term_start_position: None,
        connections_limit: 1,
        connections_share: 1,
        min_connections: 1,
        refusal_rate: RefusalRate::default(),
        overload_reported_us: 0,
        queue: Vec::new(),
        last_stale_read_us: 0,
        max_staleness_us: 0,
        quiescent_reported_term: None,
    }
}

fn apply_instances(tables: &mut Tables, key: ReplicaSetKey, view: &ReplicaSetView, now_us: u64) {
    let Some(set) = tables.replica_sets.get(key) else { return };
    let current = set.instances.clone();
    let mut instances = Vec::with_capacity(view.instances.len());
    for row in &view.instances {
        let found = current.iter().copied().find(|key| {
            tables.instances.get(*key).is_some_and(|current| is_same_instance(current, row))
        });
        let instance = match found {
            Some(instance) => instance,
            None => add_instance(tables, key, row),
        };
        if let Some(found) = tables.instances.get_mut(instance) {
            found.is_leaving = row.is_leaving;
            found.slots = row.slots;
        }
        instances.push(instance);
    }
    for removed in current.iter().filter(|key| !instances.contains(key)) {
        remove_instance(tables, *removed, now_us);
    }
    if let Some(set) = tables.replica_sets.get_mut(key) {
        set.primary = set.primary.filter(|primary| instances.contains(primary));
        set.instances = instances;
    }
    tables.next_maintenance_us = 0;
}

/// An instance that restarted or moved to another address counts as a new one, because nothing
/// known about the old one still holds.
fn is_same_instance(instance: &Instance, view: &InstanceView) -> bool {
    instance.id == view.id
        && instance.started_unix_ms == view.started_unix_ms
        && instance.address == view.address
}

fn add_instance(tables: &mut Tables, key: ReplicaSetKey, view: &InstanceView) -> InstanceKey {
    let in_same_data_centre = view.data_centre == tables.config.data_centre;
    tables.instances.insert(Instance {
        id: view.id.clone(),
        started_unix_ms: view.started_unix_ms,
        address: view.address,
        replica_set: key,
        in_same_data_centre,
        slots: view.slots,
        is_leaving: view.is_leaving,
        connections: Vec::new(),
        observed_position: None,
        last_response_us: 0,
        suspected_since_us: None,
        is_unreachable: false,
        connect_after_us: 0,
        connect_failures: 0,
        setup_time_us: Instance::DEFAULT_SETUP_TIME_US,
        exhausted_until_us: 0,
        busy_until_us: 0,
        failure_permille: 0,
        congestion: Congestion::default(),
        alive_reported_us: 0,
        reported_state: ReplicaState::default(),
        state_reported_us: 0,
    })
}

fn remove_instance(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    for connection in instance.connections.clone() {
        connection_loss::close(tables, connection, "the instance is gone", now_us);
    }
    tables.instances.remove(key);
}

fn apply_limits(tables: &mut Tables, key: ReplicaSetKey) {
    let proxies = tables.view.proxies.max(1);
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    let configs = &tables.view.configuration.replica_sets;
    let config = configs.iter().find(|config| config.name == set.name);
    let limit = config.map_or(1, |config| config.connections_limit);
    // One connection is left for a proxy that is just starting.
    set.connections_limit = limit;
    set.connections_share = (limit.saturating_sub(1) / proxies).max(1);
    // After a power failure an instance counts the dead hosts' connections for some seconds more.
    // If no more than a third of the limit is kept open, the same proxies can connect again at
    // once.
    set.min_connections = limit / 3 / proxies;
}

fn apply_primary(tables: &mut Tables, key: ReplicaSetKey, view: &PrimaryView, now_us: u64) {
    let (id, term, state) = match view {
        PrimaryView::Unknown => (None, Term::default(), PrimaryState::Unknown),
        PrimaryView::Serving { instance, term } => (Some(instance), *term, PrimaryState::Serving),
        PrimaryView::ReachableByOthers { instance, term } => {
            (Some(instance), *term, PrimaryState::ReachableByOthers)
        }
        PrimaryView::Unreachable { instance, term, expected_us } => {
            (Some(instance), *term, PrimaryState::Unreachable { expected_us: *expected_us })
        }
        PrimaryView::Replacing { instance, term, is_draining, expected_us } => {
            let state =
                PrimaryState::Replacing { is_draining: *is_draining, expected_us: *expected_us };
            (instance.as_ref(), *term, state)
        }
    };
    let primary = id.and_then(|id| tables.instance_by_id(id));
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    let previous = set.primary;
    if previous != primary || set.term != term {
        set.positions.clear();
        set.term_start_position = None;
        set.quiescent_reported_term = None;
    }
    if matches!(state, PrimaryState::Serving) {
        set.quiescent_reported_term = None;
    }
    set.primary = primary;
    set.term = term;
    set.state = state;
    if let PrimaryState::Replacing { expected_us, .. } | PrimaryState::Unreachable { expected_us } =
        state
    {
        tables.timers.add(expected_us, Timer::Wakeup);
    }
    let aborts_requests = matches!(state, PrimaryState::Replacing { is_draining: false, .. });
    let replaced = previous.filter(|previous| aborts_requests || primary != Some(*previous));
    if let Some(previous) = replaced {
        connection_loss::abort_primary_requests(tables, previous, now_us);
    }
    if let Some(primary) = primary.filter(|_| previous != primary) {
        recheck_primary(tables, primary, now_us);
    }
}

/// Tries a new primary again that was found unreachable earlier, because the network fault may be
/// over. Only a new failure is reported.
fn recheck_primary(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    instance.alive_reported_us = 0;
    if core::mem::take(&mut instance.is_unreachable) {
        instance.suspected_since_us = Some(now_us);
        instance.connect_after_us = 0;
        connections::open(tables, key, now_us);
    }
}

fn remove_missing_sets(tables: &mut Tables, view: &PoolView, now_us: u64) {
    let missing = tables
        .replica_sets
        .keys_where(|set| !view.replica_sets.iter().any(|row| row.name == set.name));
    for key in missing {
        let Some(set) = tables.replica_sets.get(key) else { continue };
        let queued = set.queue.clone();
        for instance in set.instances.clone() {
            remove_instance(tables, instance, now_us);
        }
        tables.replica_sets.remove(key);
        for session in queued {
            fail_unknown_database(tables, session, now_us);
        }
    }
}

fn apply_databases(tables: &mut Tables, view: &PoolView) {
    tables.databases.clear();
    for (_, set) in tables.replica_sets.iter_mut() {
        set.max_staleness_us = 0;
    }
    for config in &view.configuration.databases {
        let Some(key) = tables.replica_set_by_name(&config.replica_set) else { continue };
        let database = Database {
            replica_set: key,
            read_policy: config.read_policy,
            statement_timeout_us: config.statement_timeout_us,
            target_latency_us: config.target_latency_us,
            rank: config.rank,
        };
        tables.databases.insert(config.name.clone(), database);
        if let Some(set) = tables.replica_sets.get_mut(key) {
            let limit_us = config.read_policy.max_staleness_us().unwrap_or(0);
            set.max_staleness_us = set.max_staleness_us.max(limit_us);
        }
    }
}

/// Moves every queued request to the replica set that the new configuration assigns to its
/// database.
fn requeue(tables: &mut Tables, now_us: u64) {
    let mut queued = Vec::new();
    for (_, set) in tables.replica_sets.iter_mut() {
        queued.append(&mut set.queue);
    }
    for key in queued {
        let Some(session) = tables.sessions.get(key) else { continue };
        let Some(database) = tables.databases.get(&session.database) else {
            fail_unknown_database(tables, key, now_us);
            continue;
        };
        if let Some(set) = tables.replica_sets.get_mut(database.replica_set) {
            set.queue.push(key);
        }
    }
}

fn fail_unknown_database(tables: &mut Tables, key: crate::SessionKey, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = Transaction::None;
    }
    let reason = "the database was removed from the configuration";
    completion::fail_request(tables, key, None, ErrorCode::UnknownDatabase, reason, None, now_us);
}

/// Accepts or refuses the sessions that arrived before the first configuration.
fn accept_pending(tables: &mut Tables) {
    for key in tables.sessions.keys_where(|row| !row.is_accepted && !row.database.is_empty()) {
        sessions::accept(tables, key);
    }
}
