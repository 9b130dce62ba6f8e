//! Many control machines on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::BytesMut;
use flamingorock_config::services_text;
use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::{Action, Control, ControlConfig, Event};
use flamingorock_core::message::ControlMessage;
use flamingorock_core::{DatabaseId, HostId, View};
use flamingorock_peer::encode_heartbeat;

use crate::fixture::configuration;
use crate::groups::Groups;
use crate::meter::cpu_us;
use crate::store::{Store, Watch};

const HOP_US: u64 = 500;
const STORE_US: u64 = 2_000;
/// Time that the parsing of a document of 780 databases takes, rounded up.
const PARSE_US: u64 = 40_000;

struct Node {
    control: Control,
    is_up: bool,
    due_us: u64,
    view: Arc<View>,
}

/// What has crossed the network, and the processor time of the ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub datagrams: u64,
    pub datagram_bytes: u64,
    pub documents: u64,
    pub cpu_us: f64,
    pub ticks: u64,
}

/// Many control machines.
pub struct Fleet {
    pub now_us: u64,
    pub store: Store,
    pub totals: Totals,
    pub configuration: Arc<Configuration>,
    nodes: Vec<Node>,
    groups: Groups,
    due: BTreeSet<(u64, usize)>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    queued: u64,
}

impl Fleet {
    /// Starts hosts within 150 ms of each other.
    pub fn new(hosts: u16, databases: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now_us: 0,
            store: Store::default(),
            totals: Totals::default(),
            configuration: Arc::default(),
            nodes: Vec::new(),
            groups: Groups::default(),
            due: BTreeSet::new(),
            queue: BTreeMap::new(),
            queued: 0,
        };
        fleet.apply(configuration(1, databases, 5));
        for host in 1..=hosts {
            let peers = (1..=hosts).filter(|&peer| peer != host).map(HostId).collect();
            let seed = seed * 1_000 + u64::from(host);
            let config = ControlConfig::new(HostId(host)).peers(peers).seed(seed);
            let due_us = seed.wrapping_mul(0x9e37_79b9) % 150_000;
            let view = Arc::default();
            fleet.nodes.push(Node { control: Control::new(config), is_up: true, due_us, view });
            fleet.due.insert((due_us, usize::from(host - 1)));
        }
        fleet
    }

    /// Writes a configuration to the store.
    pub fn apply(&mut self, configuration: Configuration) {
        let text = services_text(&configuration);
        let version = configuration.version;
        self.configuration = Arc::new(configuration);
        for Watch { host, call, .. } in self.store.apply(version, &text) {
            let response = self.store.configuration();
            self.queue_in(STORE_US, host, Event::StoreCallCompleted { call, response });
        }
    }

    /// Ends a host without notice.
    pub fn kill(&mut self, host: usize) {
        let node = &mut self.nodes[host];
        node.is_up = false;
        self.due.remove(&(node.due_us, host));
    }

    /// Starts a host again that was ended, as a new process.
    pub fn restart(&mut self, host: usize) {
        let config = self.nodes[host].control.config().clone();
        let due_us = self.now_us;
        let control = Control::new(config.incarnation(due_us));
        self.nodes[host] = Node { control, is_up: true, due_us, view: Arc::default() };
        self.due.insert((due_us, host));
    }

    /// Owners that a host knows, and store calls that it has made.
    pub fn knowledge(&self, host: usize) -> (usize, u64) {
        let node = &self.nodes[host];
        (node.view.owners.len(), node.control.counters().store_calls)
    }

    /// Views of the hosts that are up.
    pub fn views(&self) -> impl Iterator<Item = (HostId, &View)> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| (node.control.config().host, node.view.as_ref()))
    }

    /// The live host that serves a database.
    pub fn server(&self, database: DatabaseId) -> Option<(HostId, u32)> {
        self.views().find_map(|(host, view)| {
            let served = view.served_database(database)?;
            served.primary_index.map(|_| (host, served.term.epoch()))
        })
    }

    /// Number of databases that a live host serves.
    pub fn served_count(&self) -> usize {
        let served = self.views().flat_map(|(_, view)| &view.served);
        let open = served.filter(|served| served.primary_index.is_some());
        open.map(|served| served.database).collect::<BTreeSet<_>>().len()
    }

    /// Takeovers and claims, steps down, suspicions and views of all hosts since the start.
    pub fn changes(&self) -> [u64; 4] {
        let counters = self.nodes.iter().map(|node| node.control.counters());
        counters.fold([0; 4], |sum, of| {
            let row = [of.takeovers + of.claims, of.step_downs, of.suspicions, of.views_published];
            std::array::from_fn(|index| sum[index] + row[index])
        })
    }

    /// Runs for a time.
    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.step(end_us) {}
    }

    /// Runs until a condition holds, which is looked at every 10 ms, and returns the time, or `None`
    /// at the limit.
    pub fn run_until(&mut self, limit_us: u64, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_us = self.now_us;
        while self.now_us < start_us + limit_us {
            if condition(self) {
                return Some(self.now_us - start_us);
            }
            self.run_for(10_000);
        }
        None
    }

    fn queue_in(&mut self, delay_us: u64, host: usize, event: Event) {
        self.queued += 1;
        self.queue.insert((self.now_us + delay_us, self.queued), (host, event));
    }

    fn step(&mut self, end_us: u64) -> bool {
        let due = self.due.first().copied();
        let arrival_us = self.queue.keys().next().map_or(u64::MAX, |key| key.0);
        let due_us = due.map_or(u64::MAX, |(due_us, _)| due_us);
        let next_us = due_us.min(arrival_us).max(self.now_us);
        if next_us >= end_us {
            self.now_us = end_us;
            return false;
        }
        self.now_us = next_us;
        if due_us <= arrival_us {
            self.tick(due.expect("a host is due").1, None);
        } else if let Some((_, (host, event))) = self.queue.pop_first()
            && self.nodes[host].is_up
        {
            self.tick(host, Some(event));
        }
        true
    }

    fn tick(&mut self, host: usize, event: Option<Event>) {
        let now_us = self.now_us;
        let node = &mut self.nodes[host];
        let start_us = cpu_us();
        if let Some(event) = event {
            node.control.push(event);
        }
        node.control.tick(now_us);
        self.totals.cpu_us += cpu_us() - start_us;
        self.totals.ticks += 1;
        let actions: Vec<Action> = node.control.drain_actions().collect();
        self.due.remove(&(node.due_us, host));
        node.due_us = node.control.next_deadline_us().unwrap_or(u64::MAX).max(now_us);
        self.due.insert((node.due_us, host));
        for action in actions {
            self.perform(host, action);
        }
    }

    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::SendHeartbeat { to, heartbeat } => {
                let mut buffer = BytesMut::new();
                encode_heartbeat(&heartbeat, &mut buffer).expect("the heartbeat is encoded");
                self.totals.datagrams += to.len() as u64;
                self.totals.datagram_bytes += (to.len() * buffer.len()) as u64;
                for peer in to {
                    let event = Event::HeartbeatReceived(heartbeat.as_ref().clone());
                    self.queue_in(HOP_US, usize::from(peer.0 - 1), event);
                }
            }
            Action::SendMessage { to, message } => {
                let is_document = matches!(message, ControlMessage::ConfigurationDocument { .. });
                self.totals.documents += u64::from(is_document);
                let from = HostId(host as u16 + 1);
                let event = Event::MessageReceived { from, message };
                self.queue_in(2 * HOP_US, usize::from(to.0 - 1), event);
            }
            Action::CallStore { call, operation, deadline_us } => {
                match self.store.call(self.now_us, host, call, &operation, deadline_us) {
                    Some(response) => {
                        self.queue_in(STORE_US, host, Event::StoreCallCompleted { call, response });
                    }
                    None => {
                        let response = self.store.configuration();
                        let delay_us = deadline_us - self.now_us;
                        self.queue_in(delay_us, host, Event::StoreCallCompleted { call, response });
                    }
                }
            }
            Action::CallInstance { call, instance, operation, .. } => {
                let result = Ok(self.groups.call(instance, operation));
                self.queue_in(2 * HOP_US, host, Event::InstanceCallCompleted { call, result });
            }
            Action::ParseConfiguration { version, .. } => {
                let result = Ok(Arc::clone(&self.configuration));
                self.queue_in(PARSE_US, host, Event::ConfigurationParsed { version, result });
            }
            Action::Publish(view) => self.nodes[host].view = view,
            Action::DrainFinished | Action::Log(_) => {}
        }
    }
}
