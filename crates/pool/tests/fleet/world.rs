//! A fleet of proxies with a store and three instances on virtual time.

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
    Action, Answer, AnswerOutcome, Command, Event, Query, ReplyOutcome, Report, Statement, Traffic,
    TrafficConfig,
};
use flamingorock_pool::{
    Configuration, ConnectionKey, DatabaseRule, ErrorCode, InstanceEntry, Permit, ReadPolicy,
    ReplicaSetRule, ReplicationRole, SessionKey,
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
            believed_role: Some(role),
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
            proxy.traffic.take_observations(&mut Vec::new());
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
            ControlAction::Promote { replica_set, instance, fence, .. } => {
                let target = instance_index(&instance);
                let is_up = self.instances[target].is_up;
                if is_up {
                    self.schedule(PROMOTE_US, Due::Promote { instance: target });
                }
                let outcome =
                    if is_up { PromotionOutcome::Accepted } else { PromotionOutcome::Refused };
                let event = ControlEvent::Promotion { replica_set, fence, outcome };
                let due = Due::ToProxy { proxy: index, life, event: Box::new(event) };
                self.schedule(2 * LATENCY_US, due);
            }
            ControlAction::Send { address, message } => self.send_peer(index, address, message),
            ControlAction::Call(call) => {
                self.proxies[index].traffic.push(Event::GroupCall(call));
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

    fn at_store(&mut self, proxy: usize, life: u64, call: StoreCall, sent_us: u64) {
        if self.store_down || self.cut_store[proxy] {
            return;
        }
        self.store.expire(self.now_us);
        match self.store.call(&call, self.now_us) {
            Some(outcome) => self.answer_store(proxy, life, call, sent_us, outcome, LATENCY_US),
            None => {
                let StoreCall::Watch { after_revision, wait_ms } = call else { return };
                let until_us = self.now_us + u64::from(wait_ms) * 1000;
                self.store.watches.push(Watch { proxy, call, sent_us, after_revision, until_us });
            }
        }
        self.answer_watches();
    }

    fn answer_watches(&mut self) {
        let watches = core::mem::take(&mut self.store.watches);
        for watch in watches {
            if self.cut_store[watch.proxy] {
                continue;
            }
            let outcome = match self.store.changes(watch.after_revision) {
                None if self.now_us >= watch.until_us => {
                    Some(StoreOutcome::Changes { items: Vec::new(), as_of: self.store.revision() })
                }
                outcome => outcome,
            };
            let life = self.proxies[watch.proxy].life;
            match outcome {
                Some(outcome) => self.answer_store(
                    watch.proxy,
                    life,
                    watch.call,
                    watch.sent_us,
                    outcome,
                    LATENCY_US,
                ),
                None => self.store.watches.push(watch),
            }
        }
    }

    fn answer_store(
        &mut self,
        index: usize,
        life: u64,
        call: StoreCall,
        sent_us: u64,
        outcome: StoreOutcome,
        delay_us: u64,
    ) {
        if !self.is_alive(index, life) {
            return;
        }
        let calls = &mut self.proxies[index].calls;
        let Some(found) = calls.iter().position(|row| *row == (call.clone(), sent_us)) else {
            return;
        };
        calls.remove(found);
        let event = Box::new(ControlEvent::Store(Box::new(StoreAnswer { call, sent_us, outcome })));
        self.schedule(delay_us, Due::ToProxy { proxy: index, life, event });
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

    fn connect(&mut self, index: usize, life: u64, connection: ConnectionKey, instance: usize) {
        let is_cut = self.cut_instances.get(&(index, instance)).copied().unwrap_or(false);
        if is_cut {
            return;
        }
        let event = match self.instances[instance].is_up {
            true => Event::Connected { connection },
            false => {
                self.proxies[index].connections.remove(&connection);
                Event::ConnectionLost { connection }
            }
        };
        let due = Due::ToTraffic { proxy: index, life, event: Box::new(event) };
        self.schedule(0, due);
    }

    fn run_command(
        &mut self,
        index: usize,
        life: u64,
        connection: ConnectionKey,
        instance: usize,
        command: &Command,
        sent_us: u64,
    ) {
        if !self.is_reachable(index, instance) {
            return;
        }
        let event = match command {
            Command::Start { .. } => Event::ConnectionStarted {
                connection,
                position: Some(self.instances[instance].position()),
            },
            _ => Event::Answer { connection, answer: self.execute(instance, command, sent_us) },
        };
        let due = Due::ToTraffic { proxy: index, life, event: Box::new(event) };
        self.schedule(LATENCY_US, due);
    }

    fn execute(&mut self, instance: usize, command: &Command, sent_us: u64) -> Answer {
        let mut outcome = AnswerOutcome::Complete { signature: bytes("s") };
        match command {
            Command::Forward { text, min_position, .. } => {
                let is_write = text.starts_with(b"WRITE");
                let row = &self.instances[instance];
                if is_write && !row.leads {
                    outcome = refusal(ErrorCode::ReadOnly);
                } else if min_position.is_some_and(|position| !row.has(position)) {
                    outcome = refusal(ErrorCode::Lagging);
                } else if is_write {
                    let id = self.commit(instance);
                    outcome = AnswerOutcome::Complete { signature: bytes(&id.to_string()) };
                } else {
                    self.check_read(instance, sent_us);
                }
            }
            Command::StepDown(term) => {
                let row = &mut self.instances[instance];
                if row.term < term.0 {
                    row.leads = false;
                    row.term = term.0;
                    let leader = self.leader;
                    self.instances[instance].log = self.instances[leader].log.clone();
                }
            }
            _ => {}
        }
        let row = &self.instances[instance];
        Answer {
            rows: Vec::new(),
            outcome,
            status: TransactionStatus::Idle,
            position: Some(row.position()),
            instance_status: matches!(command, Command::Status | Command::StepDown(_))
                .then(|| row.status()),
        }
    }

    fn commit(&mut self, instance: usize) -> u64 {
        self.next_commit += 1;
        let id = self.next_commit;
        let term = self.instances[instance].term;
        self.instances[instance].log.push(Commit { term, id });
        self.made_by_leader.insert(id, instance == self.leader);
        let length = self.instances[instance].log.len();
        for other in 0..INSTANCES {
            if other != instance {
                let delay_us = LATENCY_US + self.random.below(LAG_US);
                self.schedule(
                    delay_us,
                    Due::Replicate { instance: other, from: instance, term, length },
                );
            }
        }
        id
    }

    fn replicate(&mut self, instance: usize, from: usize, term: u64, length: usize) {
        let is_behind = self.instances[instance].log.len() < length;
        let follows = !self.instances[instance].leads
            && self.instances[instance].term <= term
            && self.instances[instance].is_up
            && self.instances[from].is_up;
        if is_behind && follows && self.instances[from].log.len() >= length {
            let log = self.instances[from].log[..length].to_vec();
            self.instances[instance].log = log;
            self.instances[instance].term = term;
        }
    }

    /// A promotion takes effect: what the new primary has not received is rolled back.
    fn take_effect(&mut self, instance: usize) {
        if !self.instances[instance].is_up || self.leader == instance {
            return;
        }
        self.outcome.promotions += 1;
        let term = self.instances.iter().map(|row| row.term).max().unwrap_or(1) + 1;
        let kept = self.instances[instance].log.clone();
        self.acknowledged.retain(|(_, commit)| kept.contains(commit));
        self.instances[instance].term = term;
        self.instances[instance].leads = true;
        self.leader = instance;
        for other in 0..INSTANCES {
            let row = &mut self.instances[other];
            if other != instance && !row.leads {
                row.log = kept.clone();
                row.term = term;
            }
        }
        for index in 0..INSTANCES {
            self.write_entry(index);
        }
        self.answer_watches();
    }

    /// A strict read must see every commit that was acknowledged before it was sent.
    fn check_read(&mut self, instance: usize, sent_us: u64) {
        let log = &self.instances[instance].log;
        let missing = self
            .acknowledged
            .iter()
            .find(|(at_us, commit)| *at_us < sent_us && !log.contains(commit));
        if let Some((at_us, commit)) = missing {
            // The answer may still be discarded; it counts only if it is delivered.
            let line = format!(
                "{}: a read at i{instance} lacks {commit:?}, acknowledged at {at_us}",
                self.now_us
            );
            self.pending_stale.push((self.now_us, line));
        }
    }

    fn ask(&mut self, index: usize, session: SessionKey) {
        let is_write = self.random.chance(40);
        let text = if is_write { "WRITE 1 x" } else { "READ 1" };
        let statement = if is_write { Statement::Write } else { Statement::Read };
        let query = Query { id: bytes("id"), text: bytes(text), statement };
        let proxy = &mut self.proxies[index];
        proxy.traffic.push(Event::Query { session, query });
        self.tick(index);
    }

    fn replied(&mut self, index: usize, session: SessionKey, outcome: &ReplyOutcome) {
        let life = self.proxies[index].life;
        if let ReplyOutcome::Complete { signature: Some(signature) } = outcome {
            let id = core::str::from_utf8(signature).ok().and_then(|text| text.parse().ok());
            match id {
                Some(id) => {
                    self.outcome.by_proxy[index] += 1;
                    self.acknowledge(id);
                }
                None => self.check_delivered_read(),
            }
        }
        let delay_us = THINK_US + self.random.below(THINK_US);
        self.schedule(delay_us, Due::Think { proxy: index, life, session });
    }

    fn acknowledge(&mut self, id: u64) {
        self.outcome.acknowledged += 1;
        if self.made_by_leader.get(&id) == Some(&false) {
            let line =
                format!("{}: commit {id} of a superseded primary was acknowledged", self.now_us);
            self.outcome.violations.push(line);
        }
        let commit = self
            .instances
            .iter()
            .flat_map(|row| row.log.iter())
            .find(|commit| commit.id == id)
            .copied();
        if let Some(commit) = commit
            && self.instances[self.leader].log.contains(&commit)
        {
            self.acknowledged.push((self.now_us, commit));
        }
    }

    /// A read that lacked a commit ran less than one latency and one tick ago, and is delivered now.
    fn check_delivered_read(&mut self) {
        let now_us = self.now_us;
        let found = self.pending_stale.iter().position(|(ran_us, _)| now_us == ran_us + LATENCY_US);
        if let Some(found) = found {
            let (_, line) = self.pending_stale.remove(found);
            self.outcome.violations.push(line);
        }
    }
}

// Faults.
impl World {
    pub fn crash_instance(&mut self, instance: usize) {
        self.instances[instance].is_up = false;
        for index in 0..PROXIES {
            let life = self.proxies[index].life;
            let lost: Vec<ConnectionKey> = self.proxies[index]
                .connections
                .iter()
                .filter(|(_, own)| **own == instance)
                .map(|(key, _)| *key)
                .collect();
            for connection in lost {
                self.proxies[index].connections.remove(&connection);
                let is_cut = self.cut_instances.get(&(index, instance)).copied().unwrap_or(false);
                if !is_cut {
                    let event = Box::new(Event::ConnectionLost { connection });
                    self.schedule(LATENCY_US, Due::ToTraffic { proxy: index, life, event });
                }
            }
        }
    }

    /// An instance comes back with its log, as a replica if another one leads.
    pub fn restart_instance(&mut self, instance: usize) {
        if self.instances[instance].is_up {
            return;
        }
        let leader = self.leader;
        let (term, log) = (self.instances[leader].term, self.instances[leader].log.clone());
        let row = &mut self.instances[instance];
        row.is_up = true;
        if leader != instance {
            row.leads = false;
            row.term = term;
            row.log = log;
        }
    }

    /// Removes the entries of all instances from the store, although they live.
    pub fn lapse_entries(&mut self) {
        for index in 0..INSTANCES {
            self.store.remove(instance_key(&format!("i{index}")));
        }
    }

    pub fn kill_proxy(&mut self, index: usize) {
        self.proxies[index].is_up = false;
        self.store.watches.retain(|watch| watch.proxy != index);
    }

    pub fn restart_proxy(&mut self, index: usize) {
        if self.proxies[index].is_up {
            return;
        }
        let proxy = self.start_proxy(index);
        self.proxies[index] = proxy;
        self.schedule_first(index);
    }

    pub fn freeze_proxy(&mut self, index: usize, span_us: u64) {
        self.proxies[index].frozen_until_us = self.now_us + span_us;
    }

    /// Cuts a group of proxies from the others.
    pub fn cut_group(&mut self, group: &[usize], is_cut: bool) {
        for a in 0..PROXIES {
            for b in a + 1..PROXIES {
                if group.contains(&a) != group.contains(&b) {
                    self.cut_peers.insert((a, b), is_cut);
                }
            }
        }
    }
}

fn refusal(code: ErrorCode) -> AnswerOutcome {
    AnswerOutcome::Error { code, text: Bytes::new() }
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
        databases: vec![DatabaseRule {
            name: bytes("strict"),
            replica_set: bytes(SET),
            read_policy: ReadPolicy::Primary,
            statement_timeout_us: 800 * MILLISECOND_US,
            target_latency_us: 100 * MILLISECOND_US,
            rank: 0,
        }],
        replica_sets: vec![ReplicaSetRule {
            name: bytes(SET),
            connections_limit: 50,
            sync_replicas: 0,
        }],
        idle_transaction_us: 3_000_000,
    })
}
