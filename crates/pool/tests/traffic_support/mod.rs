//! Drives a traffic machine on virtual time and writes down what it does.

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

pub const STRICT: &str = "strict";
pub const STALE: &str = "stale";
pub const OWN: &str = "own";
pub const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

pub fn position(term: u64, number: u64) -> Position {
    Position::new(Term(term), Lsn(number))
}

fn rule(name: &str, read_policy: ReadPolicy, rank: u8) -> DatabaseConfig {
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
            rule(STRICT, ReadPolicy::Primary, 0),
            rule(OWN, ReadPolicy::ReadYourWrites { max_staleness_us }, 1),
            rule(STALE, ReadPolicy::BoundedStaleness { max_staleness_us }, 2),
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

pub fn held(is_draining: bool, expected_us: u64) -> PrimaryView {
    PrimaryView::Replacing { instance: Some(bytes("a")), term: Term(1), is_draining, expected_us }
}

/// A connection that the machine has opened.
#[derive(Clone, Debug)]
pub struct Opened {
    pub key: ConnectionKey,
    pub instance: &'static str,
    /// Commands that have not been answered.
    pub sent: Vec<Command>,
}

/// A traffic machine with three instances, `a` leading.
pub struct World {
    pub machine: Traffic,
    pub permit: Permit,
    pub now_us: u64,
    pub view: PoolView,
    pub proxies: u32,
    pub opened: Vec<Opened>,
    pub reports: Vec<Report>,
    pub transcript: String,
    /// Sessions that have been answered with success since it was cleared.
    replied: Vec<SessionKey>,
    /// Connections that have started.
    started: Vec<ConnectionKey>,
    start_us: u64,
}

impl World {
    /// All instances are connected, and a position of the primary has been seen.
    pub fn new() -> Self {
        Self::expiring(3_600 * SECOND_US)
    }

    /// As `new`, with a permit that expires.
    pub fn expiring(permit_us: u64) -> Self {
        Self::of_fleet("proxy", 5, permit_us)
    }

    /// One proxy of a fleet.
    pub fn of_fleet(name: &str, proxies: u32, permit_us: u64) -> Self {
        Self::started_before(5 * SECOND_US, name, proxies, permit_us)
    }

    /// One proxy whose process has run for some time.
    pub fn started_before(run_us: u64, name: &str, proxies: u32, permit_us: u64) -> Self {
        let permit = Permit::default();
        let config =
            TrafficConfig { name: bytes(name), data_centre: bytes("here"), permit: permit.clone() };
        let start_us = 10 * SECOND_US;
        permit.extend(start_us + permit_us);
        let mut world = Self {
            machine: Traffic::new(config),
            permit,
            now_us: start_us,
            view: PoolView::default(),
            proxies,
            opened: Vec::new(),
            reports: Vec::new(),
            transcript: String::new(),
            replied: Vec::new(),
            started: Vec::new(),
            start_us,
        };
        world.machine.tick(start_us - run_us);
        world.publish(serving("a", 1));
        world.connect_all(position(1, 10));
        world.started = world.opened.iter().map(|row| row.key).collect();
        world.transcript.clear();
        world
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
            proxies: self.proxies,
        };
        self.machine.push(Event::View(Arc::new(self.view.clone())));
        self.tick();
    }

    /// Lets every connection that is being opened start at a position.
    pub fn connect_all(&mut self, position: Position) {
        for opened in self.opened.clone() {
            self.machine.push(Event::Connected { connection: opened.key });
            self.tick();
            let position = Some(position);
            self.machine.push(Event::ConnectionStarted { connection: opened.key, position });
            self.tick();
        }
    }

    /// Lets the connections start that have been opened since.
    pub fn connect_new(&mut self, position: Position) {
        let new: Vec<ConnectionKey> = self
            .opened
            .iter()
            .filter(|row| !self.started.contains(&row.key))
            .map(|row| row.key)
            .collect();
        for connection in new {
            self.started.push(connection);
            self.machine.push(Event::Connected { connection });
            self.tick();
            let position = Some(position);
            self.machine.push(Event::ConnectionStarted { connection, position });
            self.tick();
        }
    }

    /// Completes the oldest command of a connection and returns the sessions that are answered.
    pub fn complete_on(
        &mut self,
        connection: ConnectionKey,
        status: TransactionStatus,
        position: Position,
    ) -> Vec<SessionKey> {
        if let Some(opened) = self.opened.iter_mut().find(|row| row.key == connection) {
            opened.sent.remove(0);
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

    pub fn advance(&mut self, span_us: u64) {
        self.now_us += span_us;
        self.tick();
    }

    pub fn tick(&mut self) {
        self.machine.tick(self.now_us);
        let mut actions = Vec::new();
        self.machine.take_actions(&mut actions);
        for action in actions {
            self.note(action);
        }
        self.machine.take_reports(&mut self.reports);
    }

    fn note(&mut self, action: Action) {
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
                self.opened.push(Opened { key: connection, instance, sent: Vec::new() });
                format!("{instance} <- connect")
            }
            Action::Send { connection, command } => {
                let Some(opened) = self.opened.iter_mut().find(|row| row.key == connection) else {
                    return;
                };
                opened.sent.push(command.clone());
                if matches!(command, Command::Start { .. }) {
                    opened.sent.clear();
                }
                format!("{} <- {command:?}", opened.instance)
            }
            Action::CloseConnection { connection } => {
                let opened = self.take_opened(connection);
                format!("{} <- close", opened.map_or("?", |opened| opened.instance))
            }
        };
        let at_ms = (self.now_us - self.start_us) / MILLISECOND_US;
        self.transcript.push_str(&format!("{at_ms:>6} {line}\n"));
    }

    fn take_opened(&mut self, connection: ConnectionKey) -> Option<Opened> {
        let index = self.opened.iter().position(|row| row.key == connection)?;
        Some(self.opened.remove(index))
    }

    /// Opens a session of a database.
    pub fn session(&mut self, database: &str) -> SessionKey {
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

    /// Connection of an instance with a command outstanding that is no probe.
    pub fn busy(&self, instance: &str) -> ConnectionKey {
        self.opened
            .iter()
            .find(|row| {
                row.instance == instance
                    && row.sent.iter().any(|command| *command != Command::Reset)
            })
            .unwrap_or_else(|| panic!("nothing runs at {instance}:\n{}", self.transcript))
            .key
    }

    /// Whether a caller's statement runs at an instance.
    pub fn runs_at(&self, instance: &str) -> bool {
        self.opened.iter().any(|row| {
            row.instance == instance
                && row.sent.iter().any(|command| {
                    matches!(command, Command::Forward { .. } | Command::Execute { .. })
                })
        })
    }

    pub fn complete(&mut self, instance: &str, status: TransactionStatus, position: Position) {
        let outcome = ResponseOutcome::Complete { signature: bytes("signature") };
        self.answer(instance, outcome, status, position);
    }

    pub fn fail(
        &mut self,
        instance: &str,
        code: ErrorCode,
        status: TransactionStatus,
        position: Position,
    ) {
        let outcome = ResponseOutcome::Error { code, text: bytes("text") };
        self.answer(instance, outcome, status, position);
    }

    fn answer(
        &mut self,
        instance: &str,
        outcome: ResponseOutcome,
        status: TransactionStatus,
        position: Position,
    ) {
        let connection = self.busy(instance);
        if let Some(opened) = self.opened.iter_mut().find(|row| row.key == connection) {
            opened.sent.remove(0);
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

    /// Answers every probe.
    pub fn answer_probes(&mut self, position: Position) {
        for opened in self.opened.clone() {
            if opened.sent.first() == Some(&Command::Reset) {
                if let Some(row) = self.opened.iter_mut().find(|row| row.key == opened.key) {
                    row.sent.remove(0);
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

    pub fn lose(&mut self, connection: ConnectionKey) {
        self.take_opened(connection);
        self.machine.push(Event::ConnectionLost { connection });
        self.tick();
    }

    /// Lines of the transcript that a caller sees.
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
