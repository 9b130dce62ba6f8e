//! Tables of the traffic state machine.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::arena::Arena;

use super::connection::{Connection, ConnectionState, Outstanding};
use super::database::Database;
use super::instance::Instance;
use super::prepared::PreparedTable;
use super::replica_set::{PrimaryState, ReplicaSet};
use super::session::Session;
use super::timer_queue::TimerQueue;
use super::{Action, Command, Decision, DecisionKind, Event, MetricEvent, Report, TrafficConfig};
use crate::{
    ConnectionKey, ErrorCode, InstanceCall, InstanceKey, PoolView, ReplicaSetKey, SessionKey,
};

/// Time for which an instance keeps counting the connections of a host that lost power. All proxies
/// may be restarting after such a failure, so during this time each uses only part of its share,
/// which leaves connections for the others.
const DEAD_CONNECTION_TIMEOUT_US: u64 = 3_000_000;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    Session(SessionKey),
    Connection(ConnectionKey),
    /// Runs a tick, so that the systems look at queued requests and other state with deadlines.
    Wakeup,
}

/// Deadlines of a shutdown, and whether its end was reported.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    pub close_idle_us: u64,
    pub abort_us: u64,
    pub reported: bool,
}

/// All tables, and the outputs that have not been taken yet.
#[derive(Debug)]
pub struct Tables {
    pub config: TrafficConfig,
    pub view: Arc<PoolView>,
    pub sessions: Arena<SessionKey, Session>,
    pub connections: Arena<ConnectionKey, Connection>,
    pub instances: Arena<InstanceKey, Instance>,
    pub replica_sets: Arena<ReplicaSetKey, ReplicaSet>,
    pub databases: HashMap<Bytes, Database>,
    pub prepared: PreparedTable,
    pub timers: TimerQueue<Timer>,
    pub events: Vec<Event>,
    pub actions: Vec<Action>,
    pub reports: Vec<Report>,
    pub decisions: Vec<Decision>,
    pub metric_events: Vec<MetricEvent>,
    /// Calls of the control state machine that wait for a connection.
    pub instance_calls: Vec<InstanceCall>,
    pub shutdown: Option<Shutdown>,
    /// Time of the first tick, 0 before it.
    pub first_tick_us: u64,
    /// Next time at which connections are maintained and probes sent.
    pub next_maintenance_us: u64,
}

impl Tables {
    pub fn new(config: TrafficConfig) -> Self {
        Self {
            config,
            view: Arc::default(),
            sessions: Arena::new(),
            connections: Arena::new(),
            instances: Arena::new(),
            replica_sets: Arena::new(),
            databases: HashMap::new(),
            prepared: PreparedTable::default(),
            timers: TimerQueue::new(),
            events: Vec::new(),
            actions: Vec::new(),
            reports: Vec::new(),
            decisions: Vec::new(),
            metric_events: Vec::new(),
            instance_calls: Vec::new(),
            shutdown: None,
            first_tick_us: 0,
            next_maintenance_us: 0,
        }
    }

    /// Whether instances may still count connections of this proxy's earlier run, and of others that
    /// lost power with it.
    pub fn has_just_started(&self, now_us: u64) -> bool {
        now_us < self.first_tick_us + DEAD_CONNECTION_TIMEOUT_US
    }

    /// Whether an instance is the primary of its set and accepts statements.
    pub fn is_serving_primary(&self, key: InstanceKey) -> bool {
        let Some(instance) = self.instances.get(key) else { return false };
        self.replica_sets
            .get(instance.replica_set)
            .is_some_and(|set| set.primary == Some(key) && set.state == PrimaryState::Serving)
    }

    /// Whether an instance is the primary and its responses may still be passed to callers.
    pub fn may_deliver_primary_response(&self, key: InstanceKey, now_us: u64) -> bool {
        let Some(instance) = self.instances.get(key) else { return false };
        let Some(set) = self.replica_sets.get(instance.replica_set) else { return false };
        let in_time = match set.state {
            // No replacement has begun, so a response that was under way is still valid.
            PrimaryState::Serving | PrimaryState::Unreachable { .. } => true,
            PrimaryState::Replacing { is_draining, .. } => is_draining,
            PrimaryState::Unknown | PrimaryState::ReachableByOthers => false,
        };
        in_time && set.primary == Some(key) && self.config.permit.is_valid(now_us)
    }

    /// Whether this proxy held a permit to use primaries and let it expire, because it lost contact
    /// with the other proxies.
    pub fn has_expired_permit(&self, now_us: u64) -> bool {
        self.config.permit.expires_us() > 0 && !self.config.permit.is_valid(now_us)
    }

    /// Returns an idle connection to an instance, preferably one whose session variables are
    /// `variables`.
    pub fn idle_connection(
        &self,
        instance: InstanceKey,
        variables: &[(Bytes, Bytes)],
    ) -> Option<ConnectionKey> {
        let idle =
            |key: &ConnectionKey| self.connections.get(*key).is_some_and(Connection::is_idle);
        let mut found = None;
        for key in self.instances.get(instance)?.connections.iter().copied().filter(idle) {
            if self.connections.get(key).is_some_and(|connection| connection.variables == variables)
            {
                return Some(key);
            }
            found = Some(key);
        }
        found
    }

    /// Number of callers' statements that this proxy runs on an instance.
    pub fn running_statements(&self, instance: &Instance) -> u32 {
        let is_running =
            |key: &&ConnectionKey| self.connections.get(**key).is_some_and(Connection::is_running);
        instance.connections.iter().filter(is_running).count() as u32
    }

    /// Whether an instance has accepted a connection that is still open.
    pub fn is_connected(&self, instance: &Instance) -> bool {
        instance.connections.len() > self.opening_connections(instance)
    }

    /// Number of connections to an instance that are being opened.
    pub fn opening_connections(&self, instance: &Instance) -> usize {
        let is_opening = |key: &&ConnectionKey| {
            self.connections
                .get(**key)
                .is_some_and(|connection| connection.state != ConnectionState::Ready)
        };
        instance.connections.iter().filter(is_opening).count()
    }

    /// Sends a command and records that its response is outstanding.
    pub fn send(
        &mut self,
        key: ConnectionKey,
        outstanding: Outstanding,
        command: Command,
        now_us: u64,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        // Probes do not count as use, so that they do not keep otherwise unused connections open.
        if outstanding != Outstanding::Probe {
            connection.last_used_us = now_us;
        }
        connection.outstanding.push_back((now_us, outstanding));
        self.actions.push(Action::Send { connection: key, command });
    }

    /// Removes a connection from the tables. The session that used it is not notified.
    pub fn remove_connection(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        if let Some(instance) = self.instances.get_mut(connection.instance) {
            instance.connections.retain(|other| *other != key);
        }
        Some(connection)
    }

    /// Finds a replica set by name.
    pub fn replica_set_by_name(&self, name: &Bytes) -> Option<ReplicaSetKey> {
        self.replica_sets.iter().find(|(_, set)| set.name == name).map(|(key, _)| key)
    }

    /// Finds an instance by id.
    pub fn instance_by_id(&self, id: &Bytes) -> Option<InstanceKey> {
        self.instances.iter().find(|(_, instance)| instance.id == id).map(|(key, _)| key)
    }

    /// Records a decision about a session's current request, to be logged.
    pub fn log_decision(
        &mut self,
        kind: DecisionKind,
        session: SessionKey,
        instance: Option<InstanceKey>,
        code: Option<ErrorCode>,
        reason: &'static str,
        now_us: u64,
    ) {
        let Some(session) = self.sessions.get(session) else { return };
        let Some(request) = &session.request else { return };
        let found = instance.and_then(|key| self.instances.get(key));
        let term = self
            .databases
            .get(&session.database)
            .and_then(|database| self.replica_sets.get(database.replica_set))
            .map(|set| set.term)
            .unwrap_or_default();
        self.decisions.push(Decision {
            kind,
            request: request.query.id.clone(),
            database: session.database.clone(),
            instance,
            instance_id: found.map(|instance| instance.id.clone()).unwrap_or_default(),
            age_us: now_us.saturating_sub(request.arrived_us),
            term,
            position: request.min_position,
            view: self.view.sequence,
            code,
            reason,
        });
    }
}
