//! Drives a traffic state machine in virtual time and records a transcript of its actions.

#![allow(dead_code, reason = "each test binary uses a part of the support")]

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::{Lsn, Position, Term, TransactionStatus};
use flamingorock_pool::traffic::{
    AccessMode, Action, Command, Event, Query, ReplyOutcome, Report, Response, ResponseOutcome,
    Statement, Traffic, TrafficConfig,
};
use flamingorock_pool::{
    Configuration, ConnectionKey, DatabaseConfig, ErrorCode, InstanceStatus, InstanceView, Permit,
    PoolView, PrimaryView, ReadPolicy, ReplicaSetConfig, ReplicaSetView, SessionKey,
};

pub const STRICT_DB: &str = "strict";
pub const STALE_DB: &str = "stale";
pub const OWN_WRITES_DB: &str = "own";
pub const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

pub fn position(term: u64, number: u64) -> Position {
    Position::new(Term(term), Lsn(number))
}

fn database_config(name: &str, read_policy: ReadPolicy, rank: u8) -> DatabaseConfig {
    DatabaseConfig {
        name: bytes(name),
        replica_set: bytes("set"),
        read_policy,
        statement_timeout_us: 800 * MILLISECOND_US,
        target_latency_us: 100 * MILLISECOND_US,
        rank,
    }
}

pub fn configuration(version: u64) -> Configuration {
    let max_staleness_us = SECOND_US;
    Configuration {
        version,
        databases: vec![
            database_config(STRICT_DB, ReadPolicy::Primary, 0),
            database_config(OWN_WRITES_DB, ReadPolicy::ReadYourWrites { max_staleness_us }, 1),
            database_config(STALE_DB, ReadPolicy::BoundedStaleness { max_staleness_us }, 2),
        ],
        replica_sets: vec![ReplicaSetConfig {
            name: bytes("set"),
            connections_limit: 16,
            sync_replicas: 0,
        }],
        idle_transaction_us: 3 * SECOND_US,
    }
}

fn instance(id: &str, port: u16) -> InstanceView {
    InstanceView {
        id: bytes(id),
        started_unix_ms: 1,
        address: ([127, 0, 0, 1], port).into(),
        data_centre: bytes("here"),
        slots: 2,
        is_leaving: false,
    }
}

pub fn serving(instance: &str, term: u64) -> PrimaryView {
    PrimaryView::Serving { instance: bytes(instance), term: Term(term) }
}

pub fn replacing(is_draining: bool, expected_us: u64) -> PrimaryView {
    PrimaryView::Replacing { instance: Some(bytes("a")), term: Term(1), is_draining, expected_us }
}

/// A connection opened by the state machine.
#[derive(Clone, Debug)]
pub struct OpenConnection {
    pub key: ConnectionKey,
    pub instance: &'static str,
    /// Commands without a response.
    pub outstanding: Vec<Command>,
}

/// A traffic state machine with three instances: the primary `a` and the replicas `b` and `c`.
pub struct Harness {
    pub machine: Traffic,
    pub permit: Permit,
    pub now_us: u64,
    pub view: PoolView,
    pub proxy_count: u32,
    pub connections: Vec<OpenConnection>,
    pub reports: Vec<Report>,
    pub transcript: String,
    /// Sessions whose statements succeeded since this was last cleared.
    replied: Vec<SessionKey>,
    /// Connections whose startup is complete.
    started: Vec<ConnectionKey>,
    start_us: u64,
}

impl Harness {
    /// Creates a proxy that is connected to all instances and knows a position of the primary.
    pub fn new() -> Self {
        Self::with_permit(3_600 * SECOND_US)
    }

    /// Like [`Self::new`], with a permit that expires after `permit_us`.
    pub fn with_permit(permit_us: u64) -> Self {
        Self::in_fleet("proxy", 5, permit_us)
    }

    /// One of several proxies that share the instances.
    pub fn in_fleet(name: &str, proxy_count: u32, permit_us: u64) -> Self {
        Self::with_uptime(5 * SECOND_US, name, proxy_count, permit_us)
    }

    /// A proxy whose process has been running for `uptime_us`.
    pub fn with_uptime(uptime_us: u64, name: &str, proxy_count: u32, permit_us: u64) -> Self {
        let permit = Permit::default();
        let config =
            TrafficConfig { name: bytes(name), data_centre: bytes("here"), permit: permit.clone() };
        let start_us = 10 * SECOND_US;
        permit.extend(start_us + permit_us);
        let mut harness = Self {
            machine: Traffic::new(config),
            permit,
            now_us: start_us,
            view: PoolView::default(),
            proxy_count,
            connections: Vec::new(),
            reports: Vec::new(),
            transcript: String::new(),
            replied: Vec::new(),
            started: Vec::new(),
            start_us,
        };
        harness.machine.tick(start_us - uptime_us);
        harness.publish(serving("a", 1));
        harness.connect_all(position(1, 10));
        harness.started = harness.connections.iter().map(|row| row.key).collect();
        harness.transcript.clear();
        harness
    }

    pub fn publish(&mut self, primary: PrimaryView) {
        let configuration = Arc::new(configuration(1));
        self.publish_with(primary, configuration);
    }

    pub fn publish_with(&mut self, primary: PrimaryView, configuration: Arc<Configuration>) {
        self.view = PoolView {
            sequence: self.view.sequence + 1,
            configuration,
            replica_sets: vec![ReplicaSetView {
                name: bytes("set"),
                instances: vec![instance("a", 1), instance("b", 2), instance("c", 3)],
                primary,
            }],
            proxies: self.proxy_count,
        };
        self.machine.push(Event::View(Arc::new(self.view.clone())));
        self.tick();
    }

    /// Publishes the view again with another number of slots for each instance.
    pub fn publish_slots(&mut self, slots: u32) {
        self.view.sequence += 1;
        for instance in &mut self.view.replica_sets[0].instances {
            instance.slots = slots;
        }
        self.machine.push(Event::View(Arc::new(self.view.clone())));
        self.tick();
    }

    /// Completes the startup of all connections, each instance being at `position`.
    pub fn connect_all(&mut self, position: Position) {
        for opened in self.connections.clone() {
            self.machine.push(Event::Connected { connection: opened.key });
            self.tick();
            let position = Some(position);
            self.machine.push(Event::ConnectionStarted { connection: opened.key, position });
            self.tick();
        }
    }

    /// Completes the startup of the connections opened since the last call.
    pub fn connect_new(&mut self, position: Position) {
        self.connect_new_at(|_| position);
    }

    /// Like [`Self::connect_new`], with a position for each instance.
    pub fn connect_new_at(&mut self, position: impl Fn(&str) -> Position) {
        let new: Vec<OpenConnection> = self
            .connections
            .iter()
            .filter(|row| !self.started.contains(&row.key))
            .cloned()
            .collect();
        for OpenConnection { key: connection, instance, .. } in new {
            self.started.push(connection);
            self.machine.push(Event::Connected { connection });
            self.tick();
            let position = Some(position(instance));
            self.machine.push(Event::ConnectionStarted { connection, position });
            self.tick();
        }
    }

    /// Completes the oldest command of a connection and returns the sessions that received a reply.
    pub fn complete_on(
        &mut self,
        connection: ConnectionKey,
        status: TransactionStatus,
        position: Position,
    ) -> Vec<SessionKey> {
        if let Some(opened) = self.connections.iter_mut().find(|row| row.key == connection) {
            opened.outstanding.remove(0);
        }
        let response = Response {
            rows: Vec::new(),
            outcome: ResponseOutcome::Complete { signature: bytes("signature") },
            status,
            position: Some(position),
            instance_status: None,
        };
        self.machine.push(Event::Response { connection, response });
        self.replied.clear();
        self.tick();
        core::mem::take(&mut self.replied)
    }

    pub fn advance(&mut self, duration_us: u64) {
        self.now_us += duration_us;
        self.tick();
    }

    pub fn tick(&mut self) {
        self.machine.tick(self.now_us);
        let mut actions = Vec::new();
        self.machine.take_actions(&mut actions);
        for action in actions {
            self.record(action);
        }
        self.machine.take_reports(&mut self.reports);
    }

    fn record(&mut self, action: Action) {
        let line = match action {
            Action::Accept { .. } => "caller <- accepted".to_owned(),
            Action::Refuse { code, .. } => format!("caller <- refused {code}"),
            Action::Reply { session, reply } => {
                if matches!(reply.outcome, ReplyOutcome::Complete { .. }) {
                    self.replied.push(session);
                }
                format!("caller <- {:?} {:?}", reply.outcome, reply.status)
            }
            Action::CloseSession { .. } => "caller <- closed".to_owned(),
            Action::Connect { connection, address } => {
                let instance = ["a", "b", "c"][usize::from(address.port()) - 1];
                self.connections.push(OpenConnection {
                    key: connection,
                    instance,
                    outstanding: Vec::new(),
                });
                format!("{instance} <- connect")
            }
            Action::Send { connection, command } => {
                let Some(opened) = self.connections.iter_mut().find(|row| row.key == connection)
                else {
                    return;
                };
                opened.outstanding.push(command.clone());
                if matches!(command, Command::Start { .. }) {
                    opened.outstanding.clear();
                }
                format!("{} <- {command:?}", opened.instance)
            }
            Action::CloseConnection { connection } => {
                let removed = self.remove_connection(connection);
                format!("{} <- close", removed.map_or("?", |removed| removed.instance))
            }
        };
        let at_ms = (self.now_us - self.start_us) / MILLISECOND_US;
        self.transcript.push_str(&format!("{at_ms:>6} {line}\n"));
    }

    fn remove_connection(&mut self, connection: ConnectionKey) -> Option<OpenConnection> {
        let index = self.connections.iter().position(|row| row.key == connection)?;
        Some(self.connections.remove(index))
    }

    /// Starts a session for a database.
    pub fn open_session(&mut self, database: &str) -> SessionKey {
        let session = self.machine.open_session();
        self.machine.push(Event::SessionStart { session, database: bytes(database) });
        self.tick();
        session
    }

    pub fn query(&mut self, session: SessionKey, text: &str) {
        let query = Query { id: bytes("id"), text: bytes(text), statement: statement(text) };
        self.machine.push(Event::Query { session, query });
        self.tick();
    }

    /// Returns a connection to an instance with an outstanding command that is not a probe.
    pub fn busy_connection(&self, instance: &str) -> ConnectionKey {
        self.connections
            .iter()
            .find(|row| {
                row.instance == instance
                    && row.outstanding.iter().any(|command| *command != Command::Reset)
            })
            .unwrap_or_else(|| {
                panic!("no command is outstanding at {instance}:\n{}", self.transcript)
            })
            .key
    }

    /// Whether a caller's statement is outstanding at an instance.
    pub fn runs_statement_on(&self, instance: &str) -> bool {
        self.connections.iter().any(|row| {
            row.instance == instance
                && row.outstanding.iter().any(|command| {
                    matches!(command, Command::Forward { .. } | Command::Execute { .. })
                })
        })
    }

    pub fn complete(&mut self, instance: &str, status: TransactionStatus, position: Position) {
        let outcome = ResponseOutcome::Complete { signature: bytes("signature") };
        self.respond(instance, outcome, status, position);
    }

    pub fn fail(
        &mut self,
        instance: &str,
        code: ErrorCode,
        status: TransactionStatus,
        position: Position,
    ) {
        let outcome = ResponseOutcome::Error { code, text: bytes("text") };
        self.respond(instance, outcome, status, position);
    }

    fn respond(
        &mut self,
        instance: &str,
        outcome: ResponseOutcome,
        status: TransactionStatus,
        position: Position,
    ) {
        let connection = self.busy_connection(instance);
        if let Some(opened) = self.connections.iter_mut().find(|row| row.key == connection) {
            opened.outstanding.remove(0);
        }
        let response = Response {
            rows: Vec::new(),
            outcome,
            status,
            position: Some(position),
            instance_status: None::<InstanceStatus>,
        };
        self.machine.push(Event::Response { connection, response });
        self.tick();
    }

    /// Responds to every probe that is the oldest command of its connection.
    pub fn answer_probes(&mut self, position: Position) {
        for opened in self.connections.clone() {
            if opened.outstanding.first() == Some(&Command::Reset) {
                if let Some(row) = self.connections.iter_mut().find(|row| row.key == opened.key) {
                    row.outstanding.remove(0);
                }
                let response = Response {
                    rows: Vec::new(),
                    outcome: ResponseOutcome::Complete { signature: bytes("-") },
                    status: TransactionStatus::Idle,
                    position: Some(position),
                    instance_status: None,
                };
                self.machine.push(Event::Response { connection: opened.key, response });
                self.tick();
            }
        }
    }

    pub fn lose_connection(&mut self, connection: ConnectionKey) {
        self.remove_connection(connection);
        self.machine.push(Event::ConnectionLost { connection });
        self.tick();
    }

    /// Returns the transcript lines that concern callers.
    pub fn replies(&self) -> String {
        let lines = self.transcript.lines().filter(|line| line.contains("caller <-"));
        lines.map(|line| format!("{line}\n")).collect()
    }
}

fn statement(text: &str) -> Statement {
    let fields: Vec<&str> = text.split(' ').collect();
    match fields[..] {
        ["BEGIN"] => Statement::Begin { read_only: false },
        ["BEGIN", "READ"] => Statement::Begin { read_only: true },
        ["COMMIT"] => Statement::Commit,
        ["ROLLBACK"] => Statement::Rollback,
        ["READ", _] => Statement::Read,
        ["WRITE", _, _] => Statement::Write,
        ["SET", name, value] => Statement::Set { name: bytes(name), value: bytes(value) },
        ["PREPARE", name, "READ", shape] => {
            Statement::Prepare { name: bytes(name), mode: AccessMode::Read, shape: bytes(shape) }
        }
        ["EXECUTE", name, item] => Statement::Execute { name: bytes(name), arguments: bytes(item) },
        ["DEALLOC", name] => Statement::Deallocate { name: bytes(name) },
        _ => Statement::Unknown,
    }
}
