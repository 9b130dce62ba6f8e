//! A fleet of proxies with a store and three instances on virtual time.

mod callers;
mod faults;
mod instances;
mod store_calls;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::TransactionStatus;
use flamingorock_pool::control::{
    Action as ControlAction, Control, ControlConfig, Event as ControlEvent, PeerMessage,
    PromotionOutcome, StoreAnswer, StoreCall, StoreContent, StoreKey, StoreOutcome,
};
use flamingorock_pool::traffic::{
    Action, Command, Event, Query, ReplyOutcome, Report, Response, ResponseOutcome, Statement,
    Traffic, TrafficConfig,
};
use flamingorock_pool::{
    Configuration, ConnectionKey, DatabaseConfig, ErrorCode, InstanceEntry, Permit, ReadPolicy,
    ReplicaSetConfig, ReplicationRole, SessionKey,
};

use super::instance::{Commit, Instance};
use super::random::Random;
use super::store::{Store, Watch, instance_key};

pub const MILLISECOND_US: u64 = 1_000;
pub const PROXIES: usize = 5;
pub const INSTANCES: usize = 3;
const SET: &str = "set";
const LATENCY_US: u64 = 500;
const WORK_US: u64 = 3_000;
/// Shorter than on the platform, so that it hides no haste.
const PROMOTE_US: u64 = 100_000;
const LAG_US: u64 = 20_000;
const THINK_US: u64 = 25_000;

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

/// Something that happens at a time.
enum Due {
    Tick {
        proxy: usize,
        life: u64,
    },
    ToProxy {
        proxy: usize,
        life: u64,
        event: Box<ControlEvent>,
    },
    ToTraffic {
        proxy: usize,
        life: u64,
        event: Box<Event>,
    },
    ToStore {
        proxy: usize,
        life: u64,
        call: StoreCall,
        sent_us: u64,
    },
    ToInstance {
        proxy: usize,
        life: u64,
        connection: ConnectionKey,
        instance: usize,
        command: Command,
        sent_us: u64,
    },
    Run {
        proxy: usize,
        life: u64,
        connection: ConnectionKey,
        instance: usize,
        command: Command,
        sent_us: u64,
    },
    Connect {
        proxy: usize,
        life: u64,
        connection: ConnectionKey,
        instance: usize,
    },
    Promote {
        instance: usize,
    },
    Replicate {
        instance: usize,
        from: usize,
        term: u64,
        length: usize,
    },
    /// A caller connects.
    Open {
        proxy: usize,
        life: u64,
    },
    Think {
        proxy: usize,
        life: u64,
        session: SessionKey,
    },
    Timeout {
        proxy: usize,
        life: u64,
        call: StoreCall,
        sent_us: u64,
    },
}

/// A proxy.
struct Proxy {
    control: Control,
    traffic: Traffic,
    life: u64,
    is_up: bool,
    frozen_until_us: u64,
    connections: BTreeMap<ConnectionKey, usize>,
    /// Calls of the store that have not been answered.
    calls: Vec<(StoreCall, u64)>,
}

/// The outcome of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub acknowledged: u64,
    /// Acknowledged writes by proxy.
    pub by_proxy: [u64; PROXIES],
    pub promotions: u64,
    pub violations: Vec<String>,
}

/// The fleet and what surrounds it.
pub struct World {
    pub now_us: u64,
    pub random: Random,
    pub outcome: Outcome,
    pub instances: Vec<Instance>,
    pub leader: usize,
    /// Whether a path is cut: between proxies, to the store, to instances.
    pub cut_peers: BTreeMap<(usize, usize), bool>,
    pub cut_store: [bool; PROXIES],
    pub store_down: bool,
    pub cut_instances: BTreeMap<(usize, usize), bool>,
    proxies: Vec<Proxy>,
    store: Store,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    dues: BTreeMap<u64, Due>,
    next_due: u64,
    next_commit: u64,
    next_life: u64,
    /// Commits that were acknowledged, with the time of the acknowledgement.
    acknowledged: Vec<(u64, Commit)>,
    /// Reads that lacked a commit, by the time at which they ran.
    pending_stale: Vec<(u64, String)>,
    /// Commits by their id, with whether the instance led when it was made.
    made_by_leader: BTreeMap<u64, bool>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now_us: 1_000_000,
            random: Random::new(seed),
            outcome: Outcome::default(),
            instances: (0..INSTANCES).map(|index| Instance::new(index == 0)).collect(),
            leader: 0,
            cut_peers: BTreeMap::new(),
            cut_store: [false; PROXIES],
            store_down: false,
            cut_instances: BTreeMap::new(),
            proxies: Vec::new(),
            store: Store::new(),
            queue: BinaryHeap::new(),
            dues: BTreeMap::new(),
            next_due: 0,
            next_commit: 0,
            next_life: 0,
            acknowledged: Vec::new(),
            pending_stale: Vec::new(),
            made_by_leader: BTreeMap::new(),
        };
        world.store.put(StoreKey::Configuration, configuration(), 0);
        for index in 0..INSTANCES {
            world.write_entry(index);
        }
        for index in 0..PROXIES {
            let proxy = world.start_proxy(index);
            world.proxies.push(proxy);
            world.schedule_first(index);
        }
        world
    }

    fn write_entry(&mut self, index: usize) {
        let leads = self.instances[index].leads;
        let role = if leads { ReplicationRole::Primary } else { ReplicationRole::Replica };
        let entry = InstanceEntry {
            id: bytes(&format!("i{index}")),
            started_unix_ms: 1,
            replica_set: bytes(SET),
            address: instance_address(index),
            data_centre: bytes("here"),
            slots: 4,
            is_leaving: false,
            reported_role: Some(role),
        };
        self.store.put(instance_key(&format!("i{index}")), StoreContent::Instance(entry), 0);
    }

    fn start_proxy(&mut self, index: usize) -> Proxy {
        self.next_life += 1;
        let permit = Permit::default();
        let control = ControlConfig {
            name: bytes(&format!("p{index}")),
            incarnation: self.next_life,
            peer_address: proxy_address(index),
            permit: permit.clone(),
            grace_us: 6_000_000,
        };
        let name = bytes(&format!("proxy-{index}"));
        let traffic = TrafficConfig { name, data_centre: bytes("here"), permit };
        Proxy {
            control: Control::new(control, self.now_us),
            traffic: Traffic::new(traffic),
            life: self.next_life,
            is_up: true,
            frozen_until_us: 0,
            connections: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    fn schedule_first(&mut self, index: usize) {
        let life = self.proxies[index].life;
        self.schedule(1_000, Due::Tick { proxy: index, life });
        for _ in 0..3 {
            let delay_us = 20_000 + self.random.below(THINK_US);
            self.schedule(delay_us, Due::Open { proxy: index, life });
        }
    }

    /// A caller opens a session and asks soon after.
    fn open(&mut self, index: usize, life: u64) {
        let proxy = &mut self.proxies[index];
        let session = proxy.traffic.open_session();
        proxy.traffic.push(Event::SessionStart { session, database: bytes("strict") });
        self.tick(index);
        self.schedule(THINK_US, Due::Think { proxy: index, life, session });
    }

    fn schedule(&mut self, delay_us: u64, due: Due) {
        self.next_due += 1;
        self.queue.push(Reverse((self.now_us + delay_us, self.next_due)));
        self.dues.insert(self.next_due, due);
    }

    /// Runs for a time.
    pub fn run(&mut self, span_us: u64) {
        let end_us = self.now_us + span_us;
        while let Some(Reverse((at_us, number))) = self.queue.peek().copied() {
            if at_us > end_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            if let Some(due) = self.dues.remove(&number) {
                self.handle(due);
            }
        }
        self.now_us = end_us;
    }

    fn is_alive(&self, proxy: usize, life: u64) -> bool {
        self.proxies[proxy].is_up && self.proxies[proxy].life == life
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Tick { proxy, life } if self.is_alive(proxy, life) => self.tick_due(proxy),
            Due::ToProxy { proxy, life, event } if self.is_alive(proxy, life) => {
                if self.postpone_if_frozen(proxy, || Due::ToProxy {
                    proxy,
                    life,
                    event: event.clone(),
                }) {
                    return;
                }
                self.proxies[proxy].control.push(*event);
                self.tick(proxy);
            }
            Due::ToTraffic { proxy, life, event } if self.is_alive(proxy, life) => {
                if self.postpone_if_frozen(proxy, || Due::ToTraffic {
                    proxy,
                    life,
                    event: event.clone(),
                }) {
                    return;
                }
                self.proxies[proxy].traffic.push(*event);
                self.tick(proxy);
            }
            Due::ToStore { proxy, life, call, sent_us } => {
                self.at_store(proxy, life, call, sent_us)
            }
            Due::Timeout { proxy, life, call, sent_us } if self.is_alive(proxy, life) => {
                self.answer_store(proxy, life, call, sent_us, StoreOutcome::Unknown, 0);
            }
            Due::ToInstance { proxy, life, connection, instance, command, sent_us }
                if self.is_reachable(proxy, instance) =>
            {
                let work_us = if is_work(&command) { WORK_US } else { 0 };
                let due = Due::Run { proxy, life, connection, instance, command, sent_us };
                self.schedule(work_us, due);
            }
            Due::Run { proxy, life, connection, instance, command, sent_us } => {
                self.run_command(proxy, life, connection, instance, &command, sent_us);
            }
            Due::Connect { proxy, life, connection, instance } if self.is_alive(proxy, life) => {
                self.connect(proxy, life, connection, instance);
            }
            Due::Promote { instance } => self.take_effect(instance),
            Due::Replicate { instance, from, term, length } => {
                self.replicate(instance, from, term, length);
            }
            Due::Open { proxy, life } if self.is_alive(proxy, life) => self.open(proxy, life),
            Due::Think { proxy, life, session } if self.is_alive(proxy, life) => {
                self.ask(proxy, session);
            }
            _ => {}
        }
    }

    fn postpone_if_frozen(&mut self, proxy: usize, due: impl FnOnce() -> Due) -> bool {
        let until_us = self.proxies[proxy].frozen_until_us;
        if until_us <= self.now_us {
            return false;
        }
        let due = due();
        self.schedule(until_us - self.now_us, due);
        true
    }

    fn tick_due(&mut self, index: usize) {
        let proxy = &self.proxies[index];
        let life = proxy.life;
        if proxy.frozen_until_us > self.now_us {
            let delay_us = proxy.frozen_until_us - self.now_us;
            return self.schedule(delay_us, Due::Tick { proxy: index, life });
        }
        self.tick(index);
        let proxy = &self.proxies[index];
        let control_us = proxy.control.next_deadline_us(self.now_us);
        let traffic_us = proxy.traffic.next_deadline_us().unwrap_or(u64::MAX);
        let next_us = control_us.min(traffic_us).max(self.now_us + MILLISECOND_US);
        self.schedule(next_us - self.now_us, Due::Tick { proxy: index, life });
    }

    /// Ticks both machines until nothing passes between them.
    fn tick(&mut self, index: usize) {
        for _ in 0..8 {
            let now_us = self.now_us;
            let proxy = &mut self.proxies[index];
            proxy.control.tick(now_us);
            let mut controls = Vec::new();
            proxy.control.take_actions(&mut controls);
            let is_quiet = controls.is_empty();
            for action in controls {
                self.perform_control(index, action);
            }
            let proxy = &mut self.proxies[index];
            proxy.traffic.tick(now_us);
            let mut actions = Vec::new();
            proxy.traffic.take_actions(&mut actions);
            let mut reports: Vec<Report> = Vec::new();
            proxy.traffic.take_reports(&mut reports);
            proxy.traffic.take_decisions(&mut Vec::new());
            proxy.traffic.take_metric_events(&mut Vec::new());
            let is_done = is_quiet && actions.is_empty() && reports.is_empty();
            for report in reports {
                self.proxies[index].control.push(ControlEvent::Report(report));
            }
            for action in actions {
                self.perform(index, action);
            }
            if is_done {
                break;
            }
        }
    }

    fn perform_control(&mut self, index: usize, action: ControlAction) {
        let life = self.proxies[index].life;
        match action {
            ControlAction::Store { call, deadline_us } => {
                let sent_us = self.now_us;
                self.proxies[index].calls.push((call.clone(), sent_us));
                let due = Due::ToStore { proxy: index, life, call: call.clone(), sent_us };
                self.schedule(LATENCY_US, due);
                let due = Due::Timeout { proxy: index, life, call, sent_us };
                self.schedule(deadline_us.saturating_sub(self.now_us), due);
            }
            ControlAction::Promote { replica_set, instance, fencing_token, .. } => {
                let target = instance_index(&instance);
                let is_up = self.instances[target].is_up;
                if is_up {
                    self.schedule(PROMOTE_US, Due::Promote { instance: target });
                }
                let outcome =
                    if is_up { PromotionOutcome::Accepted } else { PromotionOutcome::Refused };
                let event = ControlEvent::Promotion { replica_set, fencing_token, outcome };
                let due = Due::ToProxy { proxy: index, life, event: Box::new(event) };
                self.schedule(2 * LATENCY_US, due);
            }
            ControlAction::Send { address, message } => self.send_peer(index, address, message),
            ControlAction::Call(call) => {
                self.proxies[index].traffic.push(Event::InstanceCall(call));
            }
            ControlAction::Publish(view) => self.proxies[index].traffic.push(Event::View(view)),
            ControlAction::ProbePrimary { replica_set } => {
                self.proxies[index].traffic.push(Event::ProbePrimary { replica_set });
            }
            ControlAction::SetReady(_)
            | ControlAction::StopTraffic { .. }
            | ControlAction::Exit => {}
        }
    }

    fn send_peer(&mut self, from: usize, address: SocketAddr, message: PeerMessage) {
        let to = usize::from(address.port()) - 100;
        if self.is_cut(from, to) || !self.proxies[to].is_up || self.random.chance(1) {
            return;
        }
        let life = self.proxies[to].life;
        let event = Box::new(ControlEvent::Peer(message));
        self.schedule(LATENCY_US, Due::ToProxy { proxy: to, life, event });
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let key = (a.min(b), a.max(b));
        self.cut_peers.get(&key).copied().unwrap_or(false)
    }

    fn is_reachable(&self, proxy: usize, instance: usize) -> bool {
        let is_cut = self.cut_instances.get(&(proxy, instance)).copied().unwrap_or(false);
        self.instances[instance].is_up && !is_cut
    }

    fn perform(&mut self, index: usize, action: Action) {
        let life = self.proxies[index].life;
        match action {
            Action::Connect { connection, address } => {
                let instance = usize::from(address.port()) - 200;
                self.proxies[index].connections.insert(connection, instance);
                self.schedule(
                    2 * LATENCY_US,
                    Due::Connect { proxy: index, life, connection, instance },
                );
            }
            Action::Send { connection, command } => {
                let Some(instance) = self.proxies[index].connections.get(&connection) else {
                    return;
                };
                let due = Due::ToInstance {
                    proxy: index,
                    life,
                    connection,
                    instance: *instance,
                    command,
                    sent_us: self.now_us,
                };
                self.schedule(LATENCY_US, due);
            }
            Action::CloseConnection { connection } => {
                self.proxies[index].connections.remove(&connection);
            }
            Action::Reply { session, reply } => self.replied(index, session, &reply.outcome),
            Action::CloseSession { .. } | Action::Refuse { .. } => {
                let delay_us = 100 * MILLISECOND_US;
                self.schedule(delay_us, Due::Open { proxy: index, life });
            }
            Action::Accept { .. } => {}
        }
    }
}

// Faults.

fn refusal(code: ErrorCode) -> ResponseOutcome {
    ResponseOutcome::Error { code, text: Bytes::new() }
}

fn is_work(command: &Command) -> bool {
    matches!(command, Command::Forward { .. } | Command::Status | Command::Start { .. })
}

fn instance_address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 200 + index as u16).into()
}

fn proxy_address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 100 + index as u16).into()
}

fn instance_index(id: &Bytes) -> usize {
    usize::from(id[1] - b'0')
}

fn configuration() -> StoreContent {
    StoreContent::Configuration(Configuration {
        version: 1,
        databases: vec![DatabaseConfig {
            name: bytes("strict"),
            replica_set: bytes(SET),
            read_policy: ReadPolicy::Primary,
            statement_timeout_us: 800 * MILLISECOND_US,
            target_latency_us: 100 * MILLISECOND_US,
            rank: 0,
        }],
        replica_sets: vec![ReplicaSetConfig {
            name: bytes(SET),
            connections_limit: 50,
            sync_replicas: 0,
        }],
        idle_transaction_us: 3_000_000,
    })
}
