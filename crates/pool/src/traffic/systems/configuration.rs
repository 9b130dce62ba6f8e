//! Brings the tables in line with a new view.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::ReplicaState;
use super::super::congestion::Congestion;
use super::super::database::Database;
use super::super::instance::Instance;
use super::super::position_history::PositionHistory;
use super::super::replica_set::{PrimaryState, ReplicaSet};
use super::super::session::Transaction;
use super::super::tables::{Due, Tables};
use super::super::turned_away::TurnedAway;
use super::{connections, ending, losses, sessions};
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
    drop_missing_sets(tables, &view, now_us);
    apply_databases(tables, &view);
    requeue(tables, now_us);
    start_pending(tables);
}

fn apply_set(tables: &mut Tables, view: &ReplicaSetView, now_us: u64) {
    let key = match tables.replica_set_named(&view.name) {
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
        term_start: None,
        connections_limit: 1,
        connections_share: 1,
        connections_kept: 1,
        turned_away: TurnedAway::default(),
        relief_us: 0,
        waiting: Vec::new(),
        stale_read_us: 0,
        staleness_limit_us: 0,
        quiet_reported: None,
    }
}

fn apply_instances(tables: &mut Tables, key: ReplicaSetKey, view: &ReplicaSetView, now_us: u64) {
    let Some(set) = tables.replica_sets.get(key) else { return };
    let present = set.instances.clone();
    let mut instances = Vec::with_capacity(view.instances.len());
    for row in &view.instances {
        let found = present
            .iter()
            .copied()
            .find(|key| tables.instances.get(*key).is_some_and(|present| is_same(present, row)));
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
    for gone in present.iter().filter(|key| !instances.contains(key)) {
        remove_instance(tables, *gone, now_us);
    }
    if let Some(set) = tables.replica_sets.get_mut(key) {
        set.primary = set.primary.filter(|primary| instances.contains(primary));
        set.instances = instances;
    }
    tables.upkeep_us = 0;
}

/// An instance that has started anew or moved is another one: nothing known of the former holds.
fn is_same(instance: &Instance, view: &InstanceView) -> bool {
    instance.id == view.id
        && instance.started_unix_ms == view.started_unix_ms
        && instance.address == view.address
}

fn add_instance(tables: &mut Tables, key: ReplicaSetKey, view: &InstanceView) -> InstanceKey {
    let is_near = view.data_centre == tables.config.data_centre;
    tables.instances.insert(Instance {
        id: view.id.clone(),
        started_unix_ms: view.started_unix_ms,
        address: view.address,
        replica_set: key,
        is_near,
        slots: view.slots,
        is_leaving: view.is_leaving,
        connections: Vec::new(),
        seen: None,
        heard_us: 0,
        suspect_since_us: None,
        is_lost: false,
        connect_after_us: 0,
        connect_failures: 0,
        exhausted_until_us: 0,
        refusing_until_us: 0,
        failure_permille: 0,
        congestion: Congestion::default(),
        reported_us: 0,
        reported_state: ReplicaState::default(),
        state_reported_us: 0,
    })
}

fn remove_instance(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get(key) else { return };
    for connection in instance.connections.clone() {
        losses::close(tables, connection, "the instance is gone", now_us);
    }
    tables.instances.remove(key);
}

fn apply_limits(tables: &mut Tables, key: ReplicaSetKey) {
    let proxies = tables.view.proxies.max(1);
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    let rules = &tables.view.configuration.replica_sets;
    let rule = rules.iter().find(|rule| rule.name == set.name);
    let limit = rule.map_or(1, |rule| rule.connections_limit);
    // One connection is left for a proxy that is just starting.
    set.connections_limit = limit;
    set.connections_share = (limit.saturating_sub(1) / proxies).max(1);
    // After a loss of power an instance counts the connections of the dead for some seconds. With a
    // third in use the same proxies find room at once.
    set.connections_kept = limit / 3 / proxies;
}

fn apply_primary(tables: &mut Tables, key: ReplicaSetKey, view: &PrimaryView, now_us: u64) {
    let (id, term, state) = match view {
        PrimaryView::Unknown => (None, Term::default(), PrimaryState::Unknown),
        PrimaryView::Serving { instance, term } => (Some(instance), *term, PrimaryState::Serving),
        PrimaryView::ReachableByOthers { instance, term } => {
            (Some(instance), *term, PrimaryState::Elsewhere)
        }
        PrimaryView::Lost { instance, term, expected_us } => {
            (Some(instance), *term, PrimaryState::Lost { expected_us: *expected_us })
        }
        PrimaryView::Replacing { instance, term, is_draining, expected_us } => {
            let state = PrimaryState::Held { lets_end: *is_draining, expected_us: *expected_us };
            (instance.as_ref(), *term, state)
        }
    };
    let primary = id.and_then(|id| tables.instance_named(id));
    let Some(set) = tables.replica_sets.get_mut(key) else { return };
    let former = set.primary;
    if former != primary || set.term != term {
        set.positions.clear();
        set.term_start = None;
        set.quiet_reported = None;
    }
    if matches!(state, PrimaryState::Serving) {
        set.quiet_reported = None;
    }
    set.primary = primary;
    set.term = term;
    set.state = state;
    if let PrimaryState::Held { expected_us, .. } | PrimaryState::Lost { expected_us } = state {
        tables.due.add(expected_us, Due::Systems);
    }
    let is_cleared = matches!(state, PrimaryState::Held { lets_end: false, .. });
    let replaced = former.filter(|former| is_cleared || primary != Some(*former));
    if let Some(former) = replaced {
        losses::clear_primary(tables, former, now_us);
    }
    if let Some(primary) = primary.filter(|_| former != primary) {
        reconsider(tables, primary, now_us);
    }
}

/// An instance may have been found lost before it became the primary, during a cut that is over. It
/// is tried again before that is reported.
fn reconsider(tables: &mut Tables, key: InstanceKey, now_us: u64) {
    let Some(instance) = tables.instances.get_mut(key) else { return };
    instance.reported_us = 0;
    if core::mem::take(&mut instance.is_lost) {
        instance.suspect_since_us = Some(now_us);
        instance.connect_after_us = 0;
        connections::open(tables, key, now_us);
    }
}

fn drop_missing_sets(tables: &mut Tables, view: &PoolView, now_us: u64) {
    let missing = tables
        .replica_sets
        .keys_where(|set| !view.replica_sets.iter().any(|row| row.name == set.name));
    for key in missing {
        let Some(set) = tables.replica_sets.get(key) else { continue };
        let waiting = set.waiting.clone();
        for instance in set.instances.clone() {
            remove_instance(tables, instance, now_us);
        }
        tables.replica_sets.remove(key);
        for session in waiting {
            fail_unknown(tables, session, now_us);
        }
    }
}

fn apply_databases(tables: &mut Tables, view: &PoolView) {
    tables.databases.clear();
    for (_, set) in tables.replica_sets.iter_mut() {
        set.staleness_limit_us = 0;
    }
    for rule in &view.configuration.databases {
        let Some(key) = tables.replica_set_named(&rule.replica_set) else { continue };
        let database = Database {
            replica_set: key,
            read_policy: rule.read_policy,
            statement_timeout_us: rule.statement_timeout_us,
            target_latency_us: rule.target_latency_us,
            rank: rule.rank,
        };
        tables.databases.insert(rule.name.clone(), database);
        if let Some(set) = tables.replica_sets.get_mut(key) {
            let limit_us = rule.read_policy.max_staleness_us().unwrap_or(0);
            set.staleness_limit_us = set.staleness_limit_us.max(limit_us);
        }
    }
}

/// Puts every waiting request into the queue that the newest configuration gives it.
fn requeue(tables: &mut Tables, now_us: u64) {
    let mut waiting = Vec::new();
    for (_, set) in tables.replica_sets.iter_mut() {
        waiting.append(&mut set.waiting);
    }
    for key in waiting {
        let Some(session) = tables.sessions.get(key) else { continue };
        let Some(database) = tables.databases.get(&session.database) else {
            fail_unknown(tables, key, now_us);
            continue;
        };
        if let Some(set) = tables.replica_sets.get_mut(database.replica_set) {
            set.waiting.push(key);
        }
    }
}

fn fail_unknown(tables: &mut Tables, key: crate::SessionKey, now_us: u64) {
    if let Some(session) = tables.sessions.get_mut(key) {
        session.transaction = Transaction::None;
    }
    let reason = "the database was removed from the configuration";
    ending::fail(tables, key, None, ErrorCode::UnknownDatabase, reason, None, now_us);
}

/// Starts the sessions that came before the first configuration.
fn start_pending(tables: &mut Tables) {
    for key in tables.sessions.keys_where(|row| !row.is_accepted && !row.database.is_empty()) {
        sessions::accept(tables, key);
    }
}
