//! Event loop of the simulation: several `Control` state machines and a queue of the events for
//! them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use flamingorock_core::control::{Control, ControlConfig, Event, HostEntry};
use flamingorock_core::message::Heartbeat;
use flamingorock_core::{DatabaseId, HostId, ServedDatabase, View};

use super::fake_group::{FakeGroup, FakeInstance};
use super::fake_store::FakeStore;
use super::{MS, database};

const REPLICATION_STEP_US: u64 = 50 * MS;

pub(crate) struct Node {
    pub(crate) control: Control,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    pub(crate) view: Arc<View>,
    pub(crate) drained: bool,
    /// Whether the traffic threads report that a database is quiescent once it stops admitting
    /// work.
    pub(crate) reports_quiescence: bool,
    inbox: VecDeque<Event>,
}

pub(crate) struct Simulation {
    pub(crate) now_us: u64,
    pub(crate) nodes: BTreeMap<HostId, Node>,
    pub(crate) store: FakeStore,
    pub(crate) groups: BTreeMap<DatabaseId, FakeGroup>,
    pub(crate) log: Vec<String>,
    /// Whether the log includes the calls that change an instance.
    pub(crate) logs_instance_calls: bool,
    /// Pairs of hosts between which no message is delivered.
    pub(crate) partitions: Vec<(HostId, HostId)>,
    /// Host that cannot reach any instance.
    pub(crate) partitioned_from_instances: Option<HostId>,
    pub(crate) last_heartbeat: BTreeMap<HostId, Heartbeat>,
    queue: BTreeMap<(u64, u64), (HostId, Event)>,
    next_queue_order: u64,
    steps_at_this_time: u32,
    random_state: u64,
}

impl Simulation {
    /// Starts hosts numbered from 1, with a configuration in the store.
    pub(crate) fn new(hosts: u16, seed: u64, databases: &str) -> Self {
        let mut store = FakeStore::default();
        store.write_configuration(1, databases);
        let mut simulation = Self {
            now_us: 0,
            nodes: BTreeMap::new(),
            store,
            groups: databases.split(' ').map(|name| (database(name), FakeGroup::new())).collect(),
            log: Vec::new(),
            logs_instance_calls: false,
            partitions: Vec::new(),
            partitioned_from_instances: None,
            last_heartbeat: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_queue_order: 0,
            steps_at_this_time: 0,
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        };
        for host in 1..=hosts {
            simulation.start(host, hosts, seed);
        }
        simulation
    }

    /// Starts the process of a host, replacing any earlier one.
    pub(crate) fn start(&mut self, host: u16, hosts: u16, seed: u64) {
        let peers = (1..=hosts).filter(|&peer| peer != host).map(HostId).collect();
        let config = ControlConfig::new(HostId(host))
            .peers(peers)
            .seed(seed * 100 + u64::from(host))
            .incarnation(self.now_us + 1);
        let node = Node {
            control: Control::new(config),
            up: true,
            paused: false,
            view: Arc::new(View::default()),
            drained: false,
            reports_quiescence: true,
            inbox: VecDeque::new(),
        };
        self.nodes.insert(HostId(host), node);
    }

    /// Returns a pseudorandom number below the limit (xorshift).
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % limit
    }

    pub(crate) fn node(&mut self, host: HostId) -> &mut Node {
        self.nodes.get_mut(&host).unwrap()
    }

    pub(crate) fn instance(&mut self, name: &str, index: u8) -> &mut FakeInstance {
        &mut self.groups.get_mut(&database(name)).unwrap().instances[usize::from(index)]
    }

    pub(crate) fn send(&mut self, host: HostId, event: Event) {
        self.queue_in(500, host, event);
    }

    pub(crate) fn queue_in(&mut self, delay_us: u64, host: HostId, event: Event) {
        self.next_queue_order += 1;
        self.queue.insert((self.now_us + delay_us, self.next_queue_order), (host, event));
    }

    pub(crate) fn write_configuration(&mut self, version: u64, text: &str) {
        for (host, call) in self.store.write_configuration(version, text) {
            let response = self.store.configuration();
            self.queue_in(2 * MS, host, Event::StoreCallCompleted { call, response });
        }
    }

    /// Sends every host a host list with the given entries, all of them leaving.
    pub(crate) fn publish_leaving_hosts(&mut self, names: &[&str]) {
        let address = [127, 0, 0, 1].into();
        let entry = |name: &&str| HostEntry { name: (*name).to_owned(), address, leaving: true };
        let entries: Vec<HostEntry> = names.iter().map(entry).collect();
        for host in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.send(host, Event::HostListRead(entries.clone()));
        }
    }

    /// Partitions a host from all others.
    pub(crate) fn isolate(&mut self, host: HostId) {
        self.partitions.extend(self.nodes.keys().map(|&other| (host, other)));
    }

    pub(crate) fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        self.run_until(end_us, |_| false);
    }

    /// Runs until a condition is met and returns the time that took. Panics at the limit.
    #[track_caller]
    pub(crate) fn run_until_met(
        &mut self,
        limit_us: u64,
        condition: impl Fn(&Self) -> bool,
    ) -> u64 {
        let start_us = self.now_us;
        let log_len = self.log.len();
        if !self.run_until(start_us + limit_us, condition) {
            panic!("condition not met; log since:\n{}", self.log[log_len..].join("\n"));
        }
        self.now_us - start_us
    }

    fn run_until(&mut self, end_us: u64, condition: impl Fn(&Self) -> bool) -> bool {
        while self.now_us < end_us {
            if condition(self) {
                return true;
            }
            self.step(end_us);
        }
        condition(self)
    }

    /// Advances the clock to the next event, deadline or replication step, and runs it.
    fn step(&mut self, end_us: u64) {
        let ticks = self.nodes.values().filter(|node| node.up && !node.paused);
        let ticks = ticks.filter_map(|node| node.control.next_deadline_us());
        let replication_us = (self.now_us / REPLICATION_STEP_US + 1) * REPLICATION_STEP_US;
        let delivery_us = self.queue.keys().next().map(|key| key.0);
        let next = ticks.chain(delivery_us).chain([replication_us, end_us]).min();
        let next_us = next.unwrap_or(end_us).max(self.now_us);
        self.steps_at_this_time =
            if next_us == self.now_us { self.steps_at_this_time + 1 } else { 0 };
        assert!(self.steps_at_this_time < 100, "a machine asks to be ticked without an end");
        self.now_us = next_us;
        if self.now_us == replication_us {
            self.replicate();
        }
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now_us) {
            let (host, event) = entry.remove();
            if let Some(node) = self.nodes.get_mut(&host).filter(|node| node.up) {
                node.inbox.push_back(event);
            }
        }
        for host in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.tick(host);
        }
    }

    fn replicate(&mut self) {
        for node in self.nodes.values().filter(|node| node.up && !node.paused) {
            for served in node.view.served.iter().filter(|served| served.admits) {
                let group = self.groups.get_mut(&served.database).unwrap();
                if let Some(index) = served.primary_index {
                    group.write(index, served.term);
                }
            }
        }
        let step = self.now_us / REPLICATION_STEP_US;
        self.groups.values_mut().for_each(|group| group.replicate(self.now_us, step));
    }

    fn tick(&mut self, host: HostId) {
        let now_us = self.now_us;
        let node = self.node(host);
        let is_due = node.control.next_deadline_us().is_some_and(|due_us| due_us <= now_us);
        if !node.up || node.paused || (node.inbox.is_empty() && !is_due) {
            return;
        }
        // Runs due timers before delivering events, and delivers one event per tick: a resumed
        // process can see the new time before it has read its sockets.
        if !is_due && let Some(event) = node.inbox.pop_front() {
            node.control.push(event);
        }
        let is_last = node.inbox.is_empty();
        node.control.tick(now_us);
        for action in node.control.drain_actions().collect::<Vec<_>>() {
            self.perform(host, action);
        }
        if !is_last {
            self.tick(host);
        }
    }

    pub(crate) fn log_line(&mut self, host: HostId, text: &str) {
        self.log.push(format!("{:>6} ms host {host}: {text}", self.now_us / MS));
    }

    /// Host that serves a database, with a primary whose term a majority accepts.
    pub(crate) fn serving_host(&self, name: &str) -> Option<(HostId, ServedDatabase)> {
        let id = database(name);
        self.nodes.iter().filter(|(_, node)| node.up && !node.paused).find_map(|(&host, node)| {
            let served = node.view.served_database(id).filter(|served| served.admits)?;
            let serves = self.groups[&id].is_serving(served.primary_index?, served.term);
            serves.then_some((host, served))
        })
    }

    /// Hosts that are up and believe that they own a database.
    pub(crate) fn owners(&self, name: &str) -> Vec<HostId> {
        let id = database(name);
        let nodes = self.nodes.iter().filter(|(_, node)| node.up);
        nodes.filter(|(_, node)| node.view.served_database(id).is_some()).map(|(&h, _)| h).collect()
    }

    /// Removes and returns the log as one text.
    pub(crate) fn take_log(&mut self) -> String {
        core::mem::take(&mut self.log).join("\n")
    }
}
