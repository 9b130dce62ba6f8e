//! One control state machine in a fleet whose other hosts are simulated by their heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::{Action, Control, ControlConfig, Event};
use flamingorock_core::message::{Heartbeat, OwnedDatabase};
use flamingorock_core::{DatabaseId, HostId, View};

use crate::fake_instances::FakeInstances;
use crate::meter::cpu_us;
use crate::store::Store;

/// The event or action that accounts for the CPU time of a tick.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TickCause {
    HeartbeatReceived,
    HeartbeatSent,
    StatusSent,
    StatusCompleted,
    Other,
}

/// A control state machine with a fake store and fake instances.
pub struct NodeBench {
    pub control: Control,
    pub now_us: u64,
    /// CPU time of the ticks, in microseconds, by cause.
    pub samples: BTreeMap<TickCause, Vec<f64>>,
    pub last_heartbeat: Option<Arc<Heartbeat>>,
    view: Option<Arc<View>>,
    hosts: u16,
    configuration: Arc<Configuration>,
    store: Store,
    instances: FakeInstances,
    queue: BTreeMap<(u64, u64), Event>,
    event_sequence: u64,
    heartbeat_sequence: u64,
}

impl NodeBench {
    /// Starts the first host of a fleet and delivers a heartbeat of every other host, so that only its own
    /// share of the databases is without an owner.
    pub fn new(hosts: u16, configuration: Arc<Configuration>, text: &str) -> Self {
        let peers = (2..=hosts).map(HostId).collect();
        let mut bench = Self {
            control: Control::new(ControlConfig::new(HostId(1)).peers(peers)),
            now_us: 1_000_000,
            samples: BTreeMap::new(),
            last_heartbeat: None,
            view: None,
            hosts,
            configuration,
            store: Store::default(),
            instances: FakeInstances::default(),
            queue: BTreeMap::new(),
            event_sequence: 0,
            heartbeat_sequence: 0,
        };
        bench.store.apply(1, text);
        bench.run_for(100_000);
        bench.receive_all_heartbeats();
        bench
    }

    /// Returns the databases that a host owns initially.
    fn initially_owned(&self, host: u16) -> impl Iterator<Item = DatabaseId> + '_ {
        let (host, hosts) = (usize::from(host - 1), usize::from(self.hosts));
        self.configuration.databases.iter().skip(host).step_by(hosts).map(|entry| entry.id)
    }

    /// Returns the number of databases that the host serves from a known primary.
    pub fn served_count(&self) -> usize {
        let served = self.view.as_ref().map(|view| view.served.iter());
        served.map_or(0, |served| served.filter(|entry| entry.primary_index.is_some()).count())
    }

    /// Returns a heartbeat of another host that owns its share of the databases in `epoch`.
    pub fn heartbeat(&mut self, host: u16, epoch: u32) -> Event {
        self.heartbeat_sequence += 1;
        let owned = self.initially_owned(host).map(|database| OwnedDatabase {
            database,
            epoch,
            standby: Some(HostId(host % self.hosts + 1)),
            standby_epoch: epoch + 1,
            primary_index: Some(0),
        });
        let heard = (1..=12.min(self.hosts)).map(|step| HostId((host + step) % self.hosts + 1));
        Event::HeartbeatReceived(Heartbeat {
            host: HostId(host),
            incarnation: 1,
            sequence: self.heartbeat_sequence,
            configuration_version: 1,
            draining: false,
            owned: owned.collect(),
            updates: Vec::new(),
            heard: heard.collect(),
        })
    }

    /// Delivers a heartbeat of every other host.
    pub fn receive_all_heartbeats(&mut self) {
        for host in 2..=self.hosts {
            let event = self.heartbeat(host, 1);
            self.tick(Some(event));
        }
    }

    /// Advances the virtual time and delivers the heartbeats that a host of the fleet receives.
    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            let next_us = (self.now_us + 150_000).min(end_us);
            if self.control.config().peers.len() <= 8 {
                self.receive_all_heartbeats();
            } else {
                (0..4).for_each(|step| self.receive_heartbeat(self.hosts - step));
                (0..2).for_each(|step| {
                    self.receive_heartbeat(2 + (self.heartbeat_sequence as u16 + step) % 400)
                });
            }
            self.run_until(next_us);
        }
    }

    fn receive_heartbeat(&mut self, host: u16) {
        let event = self.heartbeat(host.min(self.hosts), 1);
        self.tick(Some(event));
    }

    fn run_until(&mut self, end_us: u64) {
        loop {
            let due_us = self.control.next_deadline_us().unwrap_or(end_us);
            let arrival_us = self.queue.keys().next().map_or(end_us, |key| key.0);
            let next_us = due_us.min(arrival_us).max(self.now_us);
            if next_us >= end_us {
                self.now_us = end_us;
                return;
            }
            self.now_us = next_us;
            let arrives = arrival_us <= next_us && due_us > next_us;
            let event = if arrives { self.queue.pop_first() } else { None };
            self.tick(event.map(|(_, event)| event));
        }
    }

    /// Ticks with at most one event and returns the CPU time.
    pub fn tick(&mut self, event: Option<Event>) -> f64 {
        let cause = event.as_ref().map(cause_of);
        let start_us = cpu_us();
        if let Some(event) = event {
            self.control.push(event);
        }
        self.control.tick(self.now_us);
        let cpu_time_us = cpu_us() - start_us;
        let actions: Vec<Action> = self.control.drain_actions().collect();
        let (cause, count) = match cause {
            Some(cause) => (cause, 1),
            None => cause_of_actions(&actions),
        };
        self.samples.entry(cause).or_default().push(cpu_time_us / count as f64);
        for action in actions {
            self.perform(action);
        }
        cpu_time_us
    }

    fn perform(&mut self, action: Action) {
        let event = match action {
            Action::CallStore { call, operation, deadline_us } => {
                let response = self.store.call(self.now_us, 0, call, &operation, deadline_us);
                response.map(|response| Event::StoreCallCompleted { call, response })
            }
            Action::CallInstance { call, instance, operation, .. } => {
                let result = Ok(self.instances.call(instance, operation));
                Some(Event::InstanceCallCompleted { call, result })
            }
            Action::ParseConfiguration { version, .. } => {
                let result = Ok(Arc::clone(&self.configuration));
                Some(Event::ConfigurationParsed { version, result })
            }
            Action::SendHeartbeat { heartbeat, .. } => {
                self.last_heartbeat = Some(heartbeat);
                None
            }
            Action::Publish(view) => {
                self.view = Some(view);
                None
            }
            _ => None,
        };
        if let Some(event) = event {
            self.event_sequence += 1;
            self.queue.insert((self.now_us + 1_000, self.event_sequence), event);
        }
    }
}

fn cause_of(event: &Event) -> TickCause {
    match event {
        Event::HeartbeatReceived(_) => TickCause::HeartbeatReceived,
        Event::InstanceCallCompleted { .. } => TickCause::StatusCompleted,
        _ => TickCause::Other,
    }
}

/// Returns the cause of a tick without an event, and how many actions share its CPU time.
fn cause_of_actions(actions: &[Action]) -> (TickCause, usize) {
    let calls =
        actions.iter().filter(|action| matches!(action, Action::CallInstance { .. })).count();
    match actions {
        [Action::SendHeartbeat { .. }] => (TickCause::HeartbeatSent, 1),
        _ if calls > 0 && calls == actions.len() => (TickCause::StatusSent, calls),
        _ => (TickCause::Other, 1),
    }
}
