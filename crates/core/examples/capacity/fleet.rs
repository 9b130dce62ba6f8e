//! Simulation of the control state machines of a fleet on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::BytesMut;
use flamingorock_config::services_text;
use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::{Action, Control, ControlConfig, Event};
use flamingorock_core::message::ControlMessage;
use flamingorock_core::{DatabaseId, HostId, View};
use flamingorock_peer::encode_heartbeat;

use crate::fake_instances::FakeInstances;
use crate::fixture::configuration;
use crate::meter::cpu_us;
use crate::store::{Store, Watch};

const NETWORK_LATENCY_US: u64 = 500;
const STORE_LATENCY_US: u64 = 2_000;
/// Time to parse a document of 780 databases, rounded up.
const PARSE_TIME_US: u64 = 40_000;

struct Node {
    control: Control,
    is_up: bool,
    due_us: u64,
    view: Arc<View>,
}

/// Network traffic and CPU time of the ticks, of all hosts together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub datagrams: u64,
    pub datagram_bytes: u64,
    pub documents: u64,
    pub cpu_us: f64,
    pub ticks: u64,
}

/// The control state machines of a fleet, with a fake store and fake instances.
pub struct Fleet {
    pub now_us: u64,
    pub store: Store,
    pub totals: Totals,
    pub configuration: Arc<Configuration>,
    nodes: Vec<Node>,
    instances: FakeInstances,
    due: BTreeSet<(u64, usize)>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    event_sequence: u64,
}

impl Fleet {
    /// Starts the hosts at different times within 150 ms.
    pub fn new(hosts: u16, databases: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now_us: 0,
            store: Store::default(),
            totals: Totals::default(),
            configuration: Arc::default(),
            nodes: Vec::new(),
            instances: FakeInstances::default(),
            due: BTreeSet::new(),
            queue: BTreeMap::new(),
            event_sequence: 0,
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

    /// Writes a configuration to the store and completes the open watches.
    pub fn apply(&mut self, configuration: Configuration) {
        let text = services_text(&configuration);
        let version = configuration.version;
        self.configuration = Arc::new(configuration);
        for Watch { host, call, .. } in self.store.apply(version, &text) {
            let response = self.store.configuration();
            self.schedule(STORE_LATENCY_US, host, Event::StoreCallCompleted { call, response });
        }
    }

    /// Kills a host.
    pub fn kill(&mut self, host: usize) {
        let node = &mut self.nodes[host];
        node.is_up = false;
        self.due.remove(&(node.due_us, host));
    }

    /// Restarts a killed host as a new process.
    pub fn restart(&mut self, host: usize) {
        let config = self.nodes[host].control.config().clone();
        let due_us = self.now_us;
        let control = Control::new(config.incarnation(due_us));
        self.nodes[host] = Node { control, is_up: true, due_us, view: Arc::default() };
        self.due.insert((due_us, host));
    }

    /// Returns the number of databases whose owner a host knows, and the number of its store calls.
    pub fn known_owners_and_store_calls(&self, host: usize) -> (usize, u64) {
        let node = &self.nodes[host];
        (node.view.owners.len(), node.control.counters().store_calls)
    }

    /// Returns the views of the live hosts.
    pub fn views(&self) -> impl Iterator<Item = (HostId, &View)> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| (node.control.config().host, node.view.as_ref()))
    }

    /// Returns a live host that serves a database, and the epoch in which it does.
    pub fn serving_host(&self, database: DatabaseId) -> Option<(HostId, u32)> {
        self.views().find_map(|(host, view)| {
            let served = view.served_database(database)?;
            served.primary_index.map(|_| (host, served.term.epoch()))
        })
    }

    /// Returns the number of databases that are served by a live host.
    pub fn served_count(&self) -> usize {
        let served = self.views().flat_map(|(_, view)| &view.served);
        let open = served.filter(|served| served.primary_index.is_some());
        open.map(|served| served.database).collect::<BTreeSet<_>>().len()
    }

    /// Returns the total numbers of takeovers and claims, step-downs, suspicions and published views.
    pub fn change_counts(&self) -> [u64; 4] {
        let counters = self.nodes.iter().map(|node| node.control.counters());
        counters.fold([0; 4], |sum, of| {
            let row = [of.takeovers + of.claims, of.step_downs, of.suspicions, of.views_published];
            std::array::from_fn(|index| sum[index] + row[index])
        })
    }

    /// Advances the virtual time and handles all events that become due.
    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.step(end_us) {}
    }

    /// Runs until a condition holds, which is checked every 10 ms. Returns the time that passed, or
    /// `None` if the limit was reached.
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

    fn schedule(&mut self, delay_us: u64, host: usize, event: Event) {
        self.event_sequence += 1;
        self.queue.insert((self.now_us + delay_us, self.event_sequence), (host, event));
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
                    self.schedule(NETWORK_LATENCY_US, usize::from(peer.0 - 1), event);
                }
            }
            Action::SendMessage { to, message } => {
                let is_document = matches!(message, ControlMessage::ConfigurationDocument { .. });
                self.totals.documents += u64::from(is_document);
                let from = HostId(host as u16 + 1);
                let event = Event::MessageReceived { from, message };
                self.schedule(2 * NETWORK_LATENCY_US, usize::from(to.0 - 1), event);
            }
            Action::CallStore { call, operation, deadline_us } => {
                match self.store.call(self.now_us, host, call, &operation, deadline_us) {
                    Some(response) => {
                        self.schedule(
                            STORE_LATENCY_US,
                            host,
                            Event::StoreCallCompleted { call, response },
                        );
                    }
                    None => {
                        let response = self.store.configuration();
                        let delay_us = deadline_us - self.now_us;
                        self.schedule(delay_us, host, Event::StoreCallCompleted { call, response });
                    }
                }
            }
            Action::CallInstance { call, instance, operation, .. } => {
                let result = Ok(self.instances.call(instance, operation));
                self.schedule(
                    2 * NETWORK_LATENCY_US,
                    host,
                    Event::InstanceCallCompleted { call, result },
                );
            }
            Action::ParseConfiguration { version, .. } => {
                let result = Ok(Arc::clone(&self.configuration));
                self.schedule(PARSE_TIME_US, host, Event::ConfigurationParsed { version, result });
            }
            Action::Publish(view) => self.nodes[host].view = view,
            Action::DrainFinished | Action::Log(_) => {}
        }
    }
}
