//! Tables of the traffic machine.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::arena::Arena;

use super::connection::{Connection, ConnectionState, Outstanding};
use super::database::Database;
use super::due_queue::DueQueue;
use super::instance::Instance;
use super::prepared::PreparedTable;
use super::replica_set::{PrimaryState, ReplicaSet};
use super::session::Session;
use super::{Action, Command, Decision, DecisionKind, Event, MetricEvent, Report, TrafficConfig};
use crate::{
    ConnectionKey, ErrorCode, InstanceCall, InstanceKey, PoolView, ReplicaSetKey, SessionKey,
};

/// Something with a deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Due {
    Session(SessionKey),
    Connection(ConnectionKey),
    /// Wakes the machine so that its systems run over the waiting requests.
    Systems,
}

/// Times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    pub close_idle_us: u64,
    pub abort_us: u64,
    pub reported: bool,
}

/// Every table and the outputs of the present tick.
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
    pub due: DueQueue<Due>,
    pub events: Vec<Event>,
    pub actions: Vec<Action>,
    pub reports: Vec<Report>,
    pub decisions: Vec<Decision>,
    pub metric_events: Vec<MetricEvent>,
    /// Calls of the control machine that wait for a connection.
    pub group_calls: Vec<InstanceCall>,
    pub stopping: Option<Stopping>,
    /// Time of the first tick, 0 before it.
    pub started_us: u64,
    /// When the pools and probes are looked at next.
    pub upkeep_us: u64,
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
            due: DueQueue::new(),
            events: Vec::new(),
            actions: Vec::new(),
            reports: Vec::new(),
            decisions: Vec::new(),
            metric_events: Vec::new(),
            group_calls: Vec::new(),
            stopping: None,
            started_us: 0,
            upkeep_us: 0,
        }
    }

    /// Whether an instance is the primary of its set and statements may be sent to it.
    pub fn serves_as_primary(&self, key: InstanceKey) -> bool {
        let Some(instance) = self.instances.get(key) else { return false };
        self.replica_sets
            .get(instance.replica_set)
            .is_some_and(|set| set.primary == Some(key) && set.state == PrimaryState::Serving)
    }

    /// Whether an instance is the primary and answers of it may still be passed on.
    pub fn answers_as_primary(&self, key: InstanceKey, now_us: u64) -> bool {
        let Some(instance) = self.instances.get(key) else { return false };
        let Some(set) = self.replica_sets.get(instance.replica_set) else { return false };
        let in_time = match set.state {
            // An answer that was on its way is as good as before.
            PrimaryState::Serving | PrimaryState::Lost { .. } => true,
            PrimaryState::Held { lets_end, .. } => lets_end,
            PrimaryState::Unknown | PrimaryState::Elsewhere => false,
        };
        in_time && set.primary == Some(key) && self.config.permit.is_valid(now_us)
    }

    /// Whether this proxy had a permit to use primaries and has lost it.
    pub fn has_lost_contact(&self, now_us: u64) -> bool {
        self.config.permit.expires_us() > 0 && !self.config.permit.is_valid(now_us)
    }

    /// An idle connection of an instance, one that holds `values` if possible.
    pub fn idle_connection(
        &self,
        instance: InstanceKey,
        values: &[(Bytes, Bytes)],
    ) -> Option<ConnectionKey> {
        let idle =
            |key: &ConnectionKey| self.connections.get(*key).is_some_and(Connection::is_idle);
        let mut found = None;
        for key in self.instances.get(instance)?.connections.iter().copied().filter(idle) {
            if self.connections.get(key).is_some_and(|connection| connection.values == values) {
                return Some(key);
            }
            found = Some(key);
        }
        found
    }

    /// Statements of callers that run at an instance for this proxy.
    pub fn running(&self, instance: &Instance) -> u32 {
        let is_running =
            |key: &&ConnectionKey| self.connections.get(**key).is_some_and(Connection::is_running);
        instance.connections.iter().filter(is_running).count() as u32
    }

    /// Connections of an instance that are being opened.
    pub fn opening(&self, instance: &Instance) -> usize {
        let is_opening = |key: &&ConnectionKey| {
            self.connections
                .get(**key)
                .is_some_and(|connection| connection.state != ConnectionState::Ready)
        };
        instance.connections.iter().filter(is_opening).count()
    }

    /// Sends a command and notes that its answer is outstanding.
    pub fn send(
        &mut self,
        key: ConnectionKey,
        outstanding: Outstanding,
        command: Command,
        now_us: u64,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        // A probe must not keep a connection open that nothing else uses.
        if outstanding != Outstanding::Probe {
            connection.last_used_us = now_us;
        }
        connection.outstanding.push_back((now_us, outstanding));
        self.actions.push(Action::Send { connection: key, command });
    }

    /// Removes a connection from its tables. Whoever used it is not told.
    pub fn drop_connection(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        if let Some(instance) = self.instances.get_mut(connection.instance) {
            instance.connections.retain(|own| *own != key);
        }
        Some(connection)
    }

    /// Key of a replica set by its name.
    pub fn replica_set_named(&self, name: &Bytes) -> Option<ReplicaSetKey> {
        self.replica_sets.iter().find(|(_, set)| set.name == name).map(|(key, _)| key)
    }

    /// Key of an instance by its identity.
    pub fn instance_named(&self, id: &Bytes) -> Option<InstanceKey> {
        self.instances.iter().find(|(_, instance)| instance.id == id).map(|(key, _)| key)
    }

    /// Notes a decision about a session's request for the log.
    pub fn decide(
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
