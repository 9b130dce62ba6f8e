//! Open-loop load simulation of one database with a fixed view, on virtual time: Poisson arrivals
//! in three ranks, exponential service times, replicas with a constant lag.

#![allow(dead_code, reason = "the test and the example use different parts")]

#[path = "../world/random.rs"]
mod random;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::configuration::{
    Configuration, Database, Durability, Instance, Rank, Service,
};
use flamingorock_core::traffic::{
    Action, CallerRequest, DispatchPolicy, Event, SessionParameters, Traffic, TrafficConfig,
};
use flamingorock_core::{
    CallerKey, ConnectionKey, DatabaseId, HostId, InstanceId, InstanceReport, InstanceRole, Lsn,
    OwnerRoute, Position, RankIndex, ResultClass, ServedDatabase, StatementKind, Term,
    TransactionStatus, View, WorkItemKey,
};
use random::Random;

pub const RANKS: usize = 3;
/// Target latency of each rank.
const TARGET_LATENCIES_MS: [u64; RANKS] = [250, 1_000, 5_000];
const HOP_US: u64 = 500;
const CONNECT_US: u64 = 12_000;
const LAG_US: u64 = 5_000;
/// Mean service time of a statement.
const SERVICE_US: u64 = 5_000;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub slots: u16,
    /// Offered load of each rank in percent of the capacity of the primary's slots.
    pub percent: [u64; RANKS],
    pub seconds: u64,
    pub seed: u64,
}

impl Load {
    /// Ranks offer 20, 30 and 20 % of the capacity. The rank `flooding`, if given, is raised so
    /// that the total is `times` the capacity.
    pub fn flood(slots: u16, times: u64, flooding: Option<usize>) -> Self {
        let mut percent: [u64; RANKS] = [20, 30, 20];
        if let Some(rank) = flooding {
            let others: u64 = percent.iter().sum::<u64>() - percent[rank];
            percent[rank] = times * 100 - others;
        }
        Self { slots, percent, seconds: 30, seed: 1 }
    }
}

/// Results of the requests of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankResult {
    pub offered: u64,
    pub answered: u64,
    /// Answered within the target latency.
    pub good: u64,
    /// Answered before the load ended. Later replies come from the remaining queues and are not
    /// representative of the shares of the ranks.
    pub answered_under_load: u64,
    pub refused: u64,
    pub other: u64,
    pub latencies_us: Vec<u64>,
}

impl RankResult {
    /// Number of requests that were accepted.
    pub fn accepted(&self) -> u64 {
        self.answered + self.other
    }

    pub fn quantile_ms(&mut self, quantile: f64) -> f64 {
        self.latencies_us.sort_unstable();
        let count = self.latencies_us.len();
        if count == 0 {
            return 0.0;
        }
        let index = ((quantile * count as f64) as usize).min(count - 1);
        self.latencies_us[index] as f64 / 1_000.0
    }
}

enum ScheduledEvent {
    Arrival(usize),
    Traffic(Event),
    Run { connection: ConnectionKey, work: WorkItemKey },
    Probe { instance: InstanceId, probe_number: u64 },
    Replicate { instance: usize, lsn: u64 },
    Wake,
}

/// Simulation of a traffic machine, its instances and its callers under load.
pub struct Flood<P> {
    traffic: Traffic<P>,
    load: Load,
    now_us: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    random: Random,
    free: [Vec<CallerKey>; RANKS],
    busy: BTreeMap<CallerKey, (usize, u64)>,
    lsns: [u64; 3],
    wakes: BTreeSet<u64>,
    pub results: [RankResult; RANKS],
}

fn service() -> Service {
    let rank = |name: &str, floor_percent, target_ms: u64, deadline_ms: u64| Rank {
        name: name.to_owned(),
        target_latency_us: target_ms * 1_000,
        target_fraction: 0.99,
        floor_percent,
        worth: 1,
        deadline_us: deadline_ms * 1_000,
    };
    Service {
        name: "ledger-commun".to_owned(),
        durability: Durability::Replica,
        max_staleness_us: 2_000_000,
        ranks: vec![
            rank("urgent", 40, TARGET_LATENCIES_MS[0], 1_000),
            rank("normal", 20, TARGET_LATENCIES_MS[1], 3_000),
            rank("background", 10, TARGET_LATENCIES_MS[2], 10_000),
        ],
        default_rank: RankIndex(1),
        queue_limit: 10_000,
        callers_limit: 1_000_000,
        max_request_bytes: 1_000,
        max_answer_bytes: 1_000,
        idle_transaction_us: 30_000_000,
    }
}

fn view(slots: u16) -> View {
    let id = DatabaseId::from_name("ledger-1");
    let instance = |index: u16| Instance {
        name: index.to_string(),
        address: ([127, 0, 0, 1], 7_001 + index).into(),
        data_centre: "port-louis".to_owned(),
        slots,
        connections: 16,
    };
    let database = Database {
        id,
        name: "ledger-1".to_owned(),
        service_index: 0,
        instances: (0..3).map(instance).collect(),
    };
    let configuration =
        Configuration { version: 1, services: vec![service()], databases: vec![database] };
    View {
        sequence: 1,
        configuration: Arc::new(configuration),
        owners: vec![OwnerRoute { database: id, owner: HostId(1), epoch: 1 }],
        served: vec![ServedDatabase {
            database: id,
            term: Term::first_of_epoch(1),
            primary_index: Some(0),
            admits: true,
        }],
        leaving: Vec::new(),
        draining: false,
    }
}

impl<P: DispatchPolicy> Flood<P> {
    pub fn new(load: Load) -> Self {
        let mut traffic = Traffic::new(TrafficConfig::new(HostId(1), "port-louis"));
        traffic.push(Event::ViewChanged(Arc::new(view(load.slots))));
        let mut flood = Self {
            traffic,
            load,
            now_us: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            random: Random::new(load.seed),
            free: Default::default(),
            busy: BTreeMap::new(),
            lsns: [0; 3],
            wakes: BTreeSet::new(),
            results: Default::default(),
        };
        flood.tick();
        for rank in 0..RANKS {
            flood.schedule(100_000, ScheduledEvent::Arrival(rank));
        }
        flood
    }

    /// Runs the load, then 15 s more for the queues to drain, and returns the results of each rank.
    pub fn run(mut self) -> [RankResult; RANKS] {
        while let Some(((at_us, _), scheduled)) = self.queue.pop_first() {
            self.now_us = at_us;
            if at_us > (self.load.seconds + 15) * 1_000_000 {
                break;
            }
            self.handle(scheduled);
        }
        self.results
    }

    fn schedule(&mut self, at_us: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), scheduled);
    }

    fn handle(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival(rank) => self.arrive(rank),
            ScheduledEvent::Traffic(event) => self.push(event),
            ScheduledEvent::Run { connection, work } => {
                self.lsns[0] += 1;
                for instance in 1..3 {
                    let lsn = self.lsns[0];
                    let at_us = self.now_us + LAG_US;
                    self.schedule(at_us, ScheduledEvent::Replicate { instance, lsn });
                }
                let event = Event::BackendResponded {
                    connection,
                    work,
                    response: Bytes::new(),
                    status: TransactionStatus::Idle,
                    failed: false,
                };
                self.schedule(self.now_us + HOP_US, ScheduledEvent::Traffic(event));
            }
            ScheduledEvent::Probe { instance, probe_number } => {
                let result = Ok(self.report(instance));
                let event = Event::Probed { instance, probe_number, result };
                self.schedule(self.now_us + HOP_US, ScheduledEvent::Traffic(event));
            }
            ScheduledEvent::Replicate { instance, lsn } => self.lsns[instance] = lsn,
            ScheduledEvent::Wake => {
                self.wakes.remove(&self.now_us);
                self.tick();
            }
        }
    }

    fn report(&self, instance: InstanceId) -> InstanceReport {
        let term = Term::first_of_epoch(1);
        let is_primary = instance.index == 0;
        InstanceReport {
            accepted_term: term,
            position: Position::new(term, Lsn(self.lsns[usize::from(instance.index)])),
            role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
            primary_heard_ms: (!is_primary).then_some(0),
            accepted: true,
        }
    }

    fn arrive(&mut self, rank: usize) {
        let percent = self.load.percent[rank];
        if percent == 0 || self.now_us > self.load.seconds * 1_000_000 {
            return;
        }
        let mean_us = SERVICE_US * 100 / (percent * u64::from(self.load.slots));
        let next_us = self.now_us + self.random.exponential(mean_us).max(1);
        self.schedule(next_us, ScheduledEvent::Arrival(rank));
        let database = DatabaseId::from_name("ledger-1");
        let caller = self.free[rank].pop().unwrap_or_else(|| {
            self.traffic.open_caller(SessionParameters { database }).expect("callers are admitted")
        });
        self.busy.insert(caller, (rank, self.now_us));
        self.results[rank].offered += 1;
        let request = CallerRequest {
            kind: StatementKind::Write,
            rank: RankIndex(rank as u8),
            max_staleness_us: 0,
            deadline_us: None,
            payload: Bytes::from_static(b"write"),
        };
        self.push(Event::RequestReceived { caller, request });
    }

    fn push(&mut self, event: Event) {
        self.traffic.push(event);
        self.tick();
    }

    fn tick(&mut self) {
        self.traffic.tick(self.now_us);
        let actions: Vec<Action> = self.traffic.drain_actions().collect();
        for action in actions {
            self.perform(action);
        }
        if let Some(due_us) = self.traffic.next_deadline_us() {
            let due_us = due_us.max(self.now_us + 1);
            if self.wakes.first().is_none_or(|first_us| due_us < *first_us) {
                self.wakes.insert(due_us);
                self.schedule(due_us, ScheduledEvent::Wake);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::OpenConnection { connection, .. } => {
                let event = Event::ConnectionOpened { connection };
                self.schedule(self.now_us + CONNECT_US, ScheduledEvent::Traffic(event));
            }
            Action::Execute { connection, work, .. } => {
                let service_us = self.random.exponential(SERVICE_US).max(100);
                let at_us = self.now_us + HOP_US + service_us;
                self.schedule(at_us, ScheduledEvent::Run { connection, work });
            }
            Action::Probe { instance, probe_number, .. } => {
                let at_us = self.now_us + HOP_US;
                self.schedule(at_us, ScheduledEvent::Probe { instance, probe_number });
            }
            Action::Deliver { caller, .. } => self.end(caller, ResultClass::Done),
            Action::Refuse { caller, code, .. } => self.end(caller, code.class()),
            _ => {}
        }
    }

    fn end(&mut self, caller: CallerKey, class: ResultClass) {
        let (rank, since_us) = self.busy.remove(&caller).expect("the caller waits");
        self.free[rank].push(caller);
        let result = &mut self.results[rank];
        match class {
            ResultClass::Done => {
                result.answered += 1;
                let latency_us = self.now_us - since_us;
                result.latencies_us.push(latency_us);
                result.good += u64::from(latency_us <= TARGET_LATENCIES_MS[rank] * 1_000);
                let under_load = self.now_us <= self.load.seconds * 1_000_000;
                result.answered_under_load += u64::from(under_load);
            }
            ResultClass::NotRun => result.refused += 1,
            ResultClass::RolledBack | ResultClass::OutcomeUnknown => result.other += 1,
        }
    }
}
