//! Simulation of a fleet on virtual time. The control and traffic state machines of each host are the
//! real ones; the database instances, the key-value service, the network and the callers, who record a
//! history, are fakes.

#![allow(dead_code, reason = "each test file uses some of the items")]

mod callers;
mod faults;
pub mod history;
mod hosts;
pub mod instance;
mod instances;
mod random;
pub mod settings;
mod store;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::{self, Control, InstanceOperation};
use flamingorock_core::traffic::{self, FloorPriority, Traffic};
use flamingorock_core::{ConnectionKey, HostId, InstanceId, WorkItemKey};

pub use callers::{Caller, OperationMix};
pub use faults::Fault;
use history::History;
use instance::{ConnectionId, FakeInstance};
pub use random::Random;
pub use settings::Settings;
use store::FakeStore;

/// One-way network latency between hosts, and between hosts and instances.
pub const NETWORK_LATENCY_US: u64 = 500;
/// One-way network latency between callers and hosts.
pub const CALLER_LATENCY_US: u64 = 3_000;
/// Time that an instance takes to accept a connection.
pub const CONNECT_TIME_US: u64 = 12_000;
/// Time that a call takes to reach the key-value service.
pub const STORE_LATENCY_US: u64 = 2_000;
/// Time after which a link between partitioned hosts is reported as lost.
pub const LINK_TIMEOUT_US: u64 = 3_000_000;

/// An event in the queue of the simulation. An event for an earlier `incarnation` of a host is dropped.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    Traffic {
        host: usize,
        incarnation: u64,
        event: traffic::Event,
    },
    Control {
        host: usize,
        incarnation: u64,
        event: control::Event,
    },
    Wake {
        host: usize,
    },
    Connect {
        connection: ConnectionId,
        host: usize,
        instance: InstanceId,
    },
    Statement {
        id: ConnectionId,
        instance: InstanceId,
        work: WorkItemKey,
        payload: Bytes,
    },
    StatementEnd {
        id: ConnectionId,
        instance: InstanceId,
        work: WorkItemKey,
        payload: Bytes,
        run: u64,
    },
    Reset {
        id: ConnectionId,
        instance: InstanceId,
    },
    Cancel {
        id: ConnectionId,
        instance: InstanceId,
    },
    Close {
        id: ConnectionId,
        instance: InstanceId,
    },
    InstanceCall {
        host: usize,
        incarnation: u64,
        origin: CallOrigin,
        instance: InstanceId,
        operation: InstanceOperation,
        deadline_us: u64,
    },
    Replicate {
        instance: InstanceId,
        from: usize,
        term: flamingorock_core::Term,
        length: usize,
    },
    Keepalive {
        instance: InstanceId,
    },
    StoreCall {
        host: usize,
        incarnation: u64,
        call: flamingorock_core::StoreCallKey,
        operation: control::StoreOperation,
        deadline_us: u64,
    },
    Caller {
        caller: u32,
    },
    Reply {
        caller: u32,
        connection: u64,
        reply: callers::Reply,
    },
    Fault(Fault),
}

/// The call of a host that an instance's report completes.
#[derive(Clone, Copy, Debug)]
pub enum CallOrigin {
    Control(flamingorock_core::InstanceCallKey),
    Probe(u64),
}

/// A proxy host: the state machines of its process, and its faults.
pub struct Host {
    pub id: HostId,
    pub control: Control,
    pub traffic: Traffic<FloorPriority>,
    pub alive: bool,
    pub incarnation: u64,
    pub paused_until_us: u64,
    pub partitioned_from_peers: bool,
    pub wake_us: Option<u64>,
    pub callers: BTreeMap<flamingorock_core::CallerKey, u32>,
    pub view: Arc<flamingorock_core::View>,
    pub drained: bool,
}

/// The hosts, fakes and event queue of one run.
pub struct World {
    pub now_us: u64,
    pub settings: Settings,
    pub random: Random,
    pub hosts: Vec<Host>,
    pub configurations: BTreeMap<u64, Arc<Configuration>>,
    pub databases: BTreeMap<flamingorock_core::DatabaseId, Vec<FakeInstance>>,
    pub database_ids: Vec<flamingorock_core::DatabaseId>,
    pub store: FakeStore,
    /// The instance of each connection that was ever opened; closed connections are kept.
    connections: BTreeMap<ConnectionId, InstanceId>,
    pub callers: Vec<Caller>,
    pub history: History,
    /// State changes that the control state machines reported, with their time and host.
    pub log: Vec<(u64, HostId, control::StateChange)>,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    statements: u64,
}

impl World {
    /// Creates and starts the hosts, databases and callers of a run.
    pub fn new(settings: Settings) -> Self {
        let configuration = Arc::new(settings.configuration(1));
        let database_ids: Vec<_> =
            configuration.databases.iter().map(|database| database.id).collect();
        let fakes = |database: &flamingorock_core::configuration::Database| {
            let one = FakeInstance::new(settings.lag_us, settings.service_time_us);
            (database.id, vec![one; database.instances.len()])
        };
        let mut world = Self {
            now_us: 0,
            random: Random::new(settings.seed),
            hosts: (0..settings.hosts).map(|index| hosts::new_host(&settings, index, 1)).collect(),
            databases: configuration.databases.iter().map(fakes).collect(),
            database_ids,
            configurations: BTreeMap::from([(1, configuration)]),
            store: FakeStore::default(),
            connections: BTreeMap::new(),
            callers: Vec::new(),
            history: History::default(),
            log: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            statements: 0,
            settings,
        };
        world.store.apply(1);
        world.start();
        world
    }

    fn start(&mut self) {
        for host in 0..self.hosts.len() {
            self.schedule(0, ScheduledEvent::Wake { host });
        }
        for database in self.database_ids.clone() {
            for index in 0..3 {
                let instance = InstanceId { database, index };
                self.schedule(0, ScheduledEvent::Keepalive { instance });
            }
        }
        for caller in 0..self.settings.callers {
            let database = caller as usize % self.database_ids.len();
            let host = caller as usize % self.hosts.len();
            self.callers.push(Caller::new(caller, database, host));
            let at_us = 500_000 + self.random.below(200_000);
            self.schedule(at_us, ScheduledEvent::Caller { caller });
        }
    }

    pub fn schedule(&mut self, at_us: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at_us.max(self.now_us), self.sequence), scheduled);
    }

    /// Reschedules all events that are due at a time to the present and keeps their order.
    fn reschedule_to_now(&mut self, from_us: u64) {
        let due = self.queue.range((from_us, 0)..=(from_us, u64::MAX));
        let keys: Vec<_> = due.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(scheduled) = self.queue.remove(&key) {
                self.schedule(self.now_us, scheduled);
            }
        }
    }

    /// Handles all events up to a time, inclusive.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_us {
                break;
            }
            let ((at_us, _), scheduled) = entry.remove_entry();
            self.now_us = at_us;
            self.handle(scheduled);
        }
        self.now_us = until_us;
    }

    fn handle(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Wake { host } => self.wake(host),
            ScheduledEvent::Traffic { host, incarnation, event } => {
                if let Some(host) = self.runnable_host(host, incarnation, |host, incarnation| {
                    ScheduledEvent::Traffic { host, incarnation, event: event.clone() }
                }) {
                    self.hosts[host].traffic.push(event);
                    self.run_host(host);
                }
            }
            ScheduledEvent::Control { host, incarnation, event } => {
                if let Some(host) = self.runnable_host(host, incarnation, |host, incarnation| {
                    ScheduledEvent::Control { host, incarnation, event: event.clone() }
                }) {
                    self.hosts[host].control.push(event);
                    self.run_host(host);
                }
            }
            ScheduledEvent::Caller { caller } => self.step_caller(caller),
            ScheduledEvent::Reply { caller, connection, reply } => {
                self.deliver_reply(caller, connection, reply);
            }
            ScheduledEvent::Fault(fault) => self.inject(fault),
            other => self.handle_at_instance(other),
        }
    }

    /// Returns the host if it can handle an event now. An event for a paused host is deferred to the end
    /// of the pause; one for a process that has ended is dropped.
    fn runnable_host(
        &mut self,
        host: usize,
        incarnation: u64,
        rebuild: impl Fn(usize, u64) -> ScheduledEvent,
    ) -> Option<usize> {
        let row = &self.hosts[host];
        if !row.alive || row.incarnation != incarnation {
            return None;
        }
        if row.paused_until_us > self.now_us {
            let at_us = row.paused_until_us;
            self.schedule(at_us, rebuild(host, incarnation));
            return None;
        }
        Some(host)
    }

    pub fn send_to_traffic(
        &mut self,
        host: usize,
        incarnation: u64,
        after_us: u64,
        event: traffic::Event,
    ) {
        let at_us = self.now_us + after_us;
        self.schedule(at_us, ScheduledEvent::Traffic { host, incarnation, event });
    }

    pub fn send_to_control(
        &mut self,
        host: usize,
        incarnation: u64,
        after_us: u64,
        event: control::Event,
    ) {
        let at_us = self.now_us + after_us;
        self.schedule(at_us, ScheduledEvent::Control { host, incarnation, event });
    }

    pub fn host_index(&self, id: HostId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == id)
    }

    pub fn instance(&mut self, id: InstanceId) -> &mut FakeInstance {
        let instances = self.databases.get_mut(&id.database).expect("the database exists");
        &mut instances[usize::from(id.index)]
    }

    pub fn instances(&self, database: usize) -> &[FakeInstance] {
        &self.databases[&self.database_ids[database]]
    }

    /// Returns the index of the primary with the highest term.
    pub fn primary(&self, database: usize) -> Option<usize> {
        let instances = self.instances(database).iter().enumerate();
        let primaries = instances.filter_map(|(index, one)| Some((one.primary_term?, index)));
        primaries.max().map(|(_, index)| index)
    }

    /// Returns the index of the live host that serves a database in the highest term.
    pub fn owner(&self, database: usize) -> Option<usize> {
        let id = self.database_ids[database];
        let served = self.hosts.iter().enumerate().filter(|(_, host)| host.alive);
        let terms =
            served.filter_map(|(index, host)| Some((host.view.served_database(id)?.term, index)));
        terms.max().map(|(_, index)| index)
    }

    /// Ends all faults, runs for `settle_us`, stops the callers, waits for their last requests, and checks
    /// the logs of the primaries.
    pub fn finish(&mut self, settle_us: u64) {
        self.inject(Fault::HealAll);
        let until_us = self.now_us + settle_us;
        self.run_until(until_us);
        for caller in 0..self.callers.len() {
            self.callers[caller].stopped = true;
        }
        let until_us = self.now_us + 12_000_000;
        self.run_until(until_us);
        let count = self.database_ids.len();
        for database in 0..count {
            let Some(primary) = self.primary(database) else {
                self.history.violations.push(format!("database {database} has no primary"));
                continue;
            };
            let log = self.instances(database)[primary].log.clone();
            self.history.check_log(&log, |session| session as usize % count == database);
        }
    }
}

/// Returns the identity of a connection in the fakes, which packs the host and its incarnation.
pub fn connection_id(host: usize, incarnation: u64, key: ConnectionKey) -> ConnectionId {
    (host + 1_000 * incarnation as usize, key)
}
