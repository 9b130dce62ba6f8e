//! Test harness for a single traffic machine with a fixed view.

#![allow(dead_code, reason = "not every test file uses every helper")]

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::configuration::{
    Configuration, Database, Durability, Instance, Rank, Service,
};
use flamingorock_core::traffic::{
    Action, CallerRequest, ConnectionLoss, Event, FloorPriority, SessionParameters, Traffic,
    TrafficConfig,
};
use flamingorock_core::{
    CallerKey, DatabaseId, HostId, InstanceId, InstanceReport, InstanceRole, Lsn, OwnerRoute,
    Position, RankIndex, ServedDatabase, StatementKind, Term, TransactionStatus, View,
};

pub const HOST: HostId = HostId(1);
pub const DATABASE: &str = "ledger-1";

/// A service with the ranks `urgent`, `normal` (the default) and `background`.
pub fn service() -> Service {
    let rank = |name: &str, floor_percent, deadline_us| Rank {
        name: name.to_owned(),
        target_latency_us: 250_000,
        target_fraction: 0.99,
        floor_percent,
        worth: 1,
        deadline_us,
    };
    Service {
        name: "ledger-commun".to_owned(),
        durability: Durability::Replica,
        max_staleness_us: 2_000_000,
        ranks: vec![
            rank("urgent", 20, 5_000_000),
            rank("normal", 10, 5_000_000),
            rank("background", 10, 5_000_000),
        ],
        default_rank: RankIndex(1),
        queue_limit: 1_000,
        callers_limit: 1_000,
        max_request_bytes: 1_000,
        max_answer_bytes: 10_000,
        idle_transaction_us: 30_000_000,
    }
}

/// A configuration with one database of three instances.
pub fn configuration(service: Service) -> Configuration {
    let instance = |index: u16| Instance {
        name: ["a", "b", "c"][usize::from(index)].to_owned(),
        address: ([127, 0, 0, 1], 7_001 + index).into(),
        data_centre: "port-louis".to_owned(),
        slots: 2,
        connections: 16,
    };
    let database = Database {
        id: DatabaseId::from_name(DATABASE),
        name: DATABASE.to_owned(),
        service_index: 0,
        instances: (0..3).map(instance).collect(),
    };
    Configuration { version: 1, services: vec![service], databases: vec![database] }
}

/// A view in which this host owns the database and instance 0 is the primary.
pub fn view(configuration: Configuration) -> View {
    let database = DatabaseId::from_name(DATABASE);
    View {
        sequence: 1,
        configuration: Arc::new(configuration),
        owners: vec![OwnerRoute { database, owner: HOST, epoch: 1 }],
        served: vec![ServedDatabase {
            database,
            term: Term::first_of_epoch(1),
            primary_index: Some(0),
            admits: true,
        }],
        leaving: Vec::new(),
        draining: false,
    }
}

/// A traffic machine under test, with a transcript of its actions: one line each, with the time.
pub struct TrafficHarness {
    pub traffic: Traffic<FloorPriority>,
    pub now_us: u64,
    pub transcript: String,
}

impl TrafficHarness {
    /// Creates a machine with `view` applied and its connections open.
    pub fn new(view: View) -> Self {
        let traffic = Traffic::new(TrafficConfig::new(HOST, "port-louis"));
        let mut harness = Self { traffic, now_us: 0, transcript: String::new() };
        harness.step(Event::ViewChanged(Arc::new(view)));
        harness.open_connections();
        harness
    }

    /// Connects a caller to the database.
    pub fn caller(&mut self) -> CallerKey {
        let database = DatabaseId::from_name(DATABASE);
        self.traffic.open_caller(SessionParameters { database }).expect("the caller is admitted")
    }

    /// Pushes an event, ticks and returns the resulting actions.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        self.traffic.push(event);
        self.tick()
    }

    /// Advances the time, ticks and returns the resulting actions.
    pub fn advance(&mut self, by_us: u64) -> Vec<Action> {
        self.now_us += by_us;
        self.tick()
    }

    fn tick(&mut self) -> Vec<Action> {
        self.traffic.tick(self.now_us);
        let actions: Vec<Action> = self.traffic.drain_actions().collect();
        for action in &actions {
            self.transcript += &format!("{:>8} {action:?}\n", self.now_us);
        }
        actions
    }

    fn open_connections(&mut self) {
        let text = std::mem::take(&mut self.transcript);
        drop(text);
        for connection in self.traffic_connections() {
            self.step(Event::ConnectionOpened { connection });
        }
        self.transcript.clear();
    }

    fn traffic_connections(&mut self) -> Vec<flamingorock_core::ConnectionKey> {
        use flamingorock_core::ArenaKey;
        let count = self.traffic.gauges().connections;
        let keys = 0..u32::try_from(count).expect("few connections");
        keys.map(|index| flamingorock_core::ConnectionKey::from_parts(index, 0)).collect()
    }

    /// Breaks all connections to the instances.
    pub fn lose_connections(&mut self) {
        for connection in self.traffic_connections() {
            let reason = ConnectionLoss::Broken;
            self.step(Event::ConnectionLost { connection, reason });
        }
    }

    /// Sends a request from a caller with the default rank; reads allow stale data.
    pub fn request(&mut self, caller: CallerKey, kind: StatementKind, text: &str) -> Vec<Action> {
        let request = CallerRequest {
            kind,
            rank: RankIndex(1),
            max_staleness_us: if kind == StatementKind::Read { 2_000_000 } else { 0 },
            deadline_us: None,
            payload: Bytes::copy_from_slice(text.as_bytes()),
        };
        self.step(Event::RequestReceived { caller, request })
    }

    /// Responds to the first statement that `actions` execute.
    pub fn respond(&mut self, actions: &[Action], status: TransactionStatus) -> Vec<Action> {
        let (connection, work) = executed(actions);
        let response = Bytes::from_static(b"ok");
        self.step(Event::BackendResponded { connection, work, response, status, failed: false })
    }

    /// Responds to each probe in `actions` with a report of `term` and the instance's entry in
    /// `lsns`.
    pub fn respond_to_probes(
        &mut self,
        actions: &[Action],
        term: Term,
        lsns: [u64; 3],
    ) -> Vec<Action> {
        let mut followed_by = Vec::new();
        for action in actions {
            let &Action::Probe { instance, probe_number, .. } = action else { continue };
            let result = Ok(report(instance, term, lsns[usize::from(instance.index)]));
            followed_by.extend(self.step(Event::Probed { instance, probe_number, result }));
        }
        followed_by
    }
}

/// Report of an instance that has accepted `term`; instance 0 is the primary.
pub fn report(instance: InstanceId, term: Term, lsn: u64) -> InstanceReport {
    let is_primary = instance.index == 0;
    InstanceReport {
        accepted_term: term,
        position: Position::new(term, Lsn(lsn)),
        role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
        primary_heard_ms: (!is_primary).then_some(10),
        accepted: true,
    }
}

/// Connection and work item of the first statement that `actions` execute.
pub fn executed(
    actions: &[Action],
) -> (flamingorock_core::ConnectionKey, flamingorock_core::WorkItemKey) {
    let mut executed = actions.iter().filter_map(|action| match action {
        Action::Execute { connection, work, .. } => Some((*connection, *work)),
        _ => None,
    });
    executed.next().expect("a statement is executed")
}
