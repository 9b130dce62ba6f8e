//! One control machine in a fleet whose other hosts are made up.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingorock_core::configuration::Configuration;
use flamingorock_core::control::{Action, Control, ControlConfig, Event};
use flamingorock_core::message::{Heartbeat, OwnedDatabase};
use flamingorock_core::{DatabaseId, HostId, View};

use crate::groups::Groups;
use crate::meter::cpu_us;
use crate::store::Store;

/// What a tick was for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    HeartbeatReceived,
    HeartbeatSent,
    StatusSent,
    StatusAnswered,
    Other,
}

/// One control machine.
pub struct NodeBench {
    pub control: Control,
    pub now_us: u64,
    /// Processor time of the ticks by cause, in microseconds.
    pub samples: BTreeMap<Cause, Vec<f64>>,
    pub last_heartbeat: Option<Arc<Heartbeat>>,
    view: Option<Arc<View>>,
    hosts: u16,
    configuration: Arc<Configuration>,
    store: Store,
    groups: Groups,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    sequence: u64,
}

impl NodeBench {
    /// Starts the first host of a fleet, which owns its share of the databases.
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
            groups: Groups::default(),
            queue: BTreeMap::new(),
            queued: 0,
            sequence: 0,
        };
        bench.store.apply(1, text);
        bench.run_for(100_000);
        bench.hear_all();
        bench
    }

    /// Databases that a host owns at the start.
    fn share(&self, host: u16) -> impl Iterator<Item = DatabaseId> + '_ {
        let (host, hosts) = (usize::from(host - 1), usize::from(self.hosts));
        self.configuration.databases.iter().skip(host).step_by(hosts).map(|entry| entry.id)
    }

    /// Databases that the machine owns and has opened.
    pub fn open_count(&self) -> usize {
        let served = self.view.as_ref().map(|view| view.served.iter());
        served.map_or(0, |served| served.filter(|entry| entry.primary_index.is_some()).count())
    }

    /// Heartbeat of another host, with the epoch of its databases.
    pub fn heartbeat(&mut self, host: u16, epoch: u32) -> Event {
        self.sequence += 1;
        let owned = self.share(host).map(|database| OwnedDatabase {
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
            sequence: self.sequence,
            configuration_version: 1,
            draining: false,
            owned: owned.collect(),
            updates: Vec::new(),
            heard: heard.collect(),
        })
    }

    /// Takes a heartbeat of every other host.
    pub fn hear_all(&mut self) {
        for host in 2..=self.hosts {
            let event = self.heartbeat(host, 1);
            self.tick(Some(event));
        }
    }

    /// Runs the machine, with the heartbeats that a host of the fleet gets.
    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            let next_us = (self.now_us + 150_000).min(end_us);
            if self.control.config().peers.len() <= 8 {
                self.hear_all();
            } else {
                (0..4).for_each(|step| self.hear(self.hosts - step));
                (0..2).for_each(|step| self.hear(2 + (self.sequence as u16 + step) % 400));
            }
            self.run_until(next_us);
        }
    }

    fn hear(&mut self, host: u16) {
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

    /// Ticks with at most one event and returns the processor time.
    pub fn tick(&mut self, event: Option<Event>) -> f64 {
        let cause = event.as_ref().map(cause_of);
        let start_us = cpu_us();
        if let Some(event) = event {
            self.control.push(event);
        }
        self.control.tick(self.now_us);
        let spent_us = cpu_us() - start_us;
        let actions: Vec<Action> = self.control.drain_actions().collect();
        let (cause, count) = match cause {
            Some(cause) => (cause, 1),
            None => cause_of_actions(&actions),
        };
        self.samples.entry(cause).or_default().push(spent_us / count as f64);
        for action in actions {
            self.perform(action);
        }
        spent_us
    }

    fn perform(&mut self, action: Action) {
        let event = match action {
            Action::CallStore { call, operation, deadline_us } => {
                let response = self.store.call(self.now_us, 0, call, &operation, deadline_us);
                response.map(|response| Event::StoreCallCompleted { call, response })
            }
            Action::CallInstance { call, instance, operation, .. } => {
                let result = Ok(self.groups.call(instance, operation));
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
            self.queued += 1;
            self.queue.insert((self.now_us + 1_000, self.queued), event);
        }
    }
}

fn cause_of(event: &Event) -> Cause {
    match event {
        Event::HeartbeatReceived(_) => Cause::HeartbeatReceived,
        Event::InstanceCallCompleted { .. } => Cause::StatusAnswered,
        _ => Cause::Other,
    }
}

/// Cause of a tick without an event, and how often it applies.
fn cause_of_actions(actions: &[Action]) -> (Cause, usize) {
    let calls =
        actions.iter().filter(|action| matches!(action, Action::CallInstance { .. })).count();
    match actions {
        [Action::SendHeartbeat { .. }] => (Cause::HeartbeatSent, 1),
        _ if calls > 0 && calls == actions.len() => (Cause::StatusSent, calls),
        _ => (Cause::Other, 1),
    }
}
