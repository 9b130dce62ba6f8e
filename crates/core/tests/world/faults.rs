//! Faults on switches.

use std::collections::BTreeMap;

use flamingorock_core::control::{self, HostEntry};
use flamingorock_core::{InstanceId, traffic};

use super::callers::Reply;
use super::{CALLER_HOP_US, HOP_US, Happening, World, hosts};

/// A fault, or its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    KillPrimary {
        database: usize,
    },
    CutPrimaryFromGroup {
        database: usize,
    },
    CutPrimaryFromProxies {
        database: usize,
    },
    PausePrimary {
        database: usize,
        for_us: u64,
    },
    KillReplica {
        database: usize,
    },
    LagReplicas {
        database: usize,
        lag_us: u64,
    },
    KillOwner {
        database: usize,
    },
    PauseOwner {
        database: usize,
        for_us: u64,
    },
    CutOwnerFromPeers {
        database: usize,
    },
    DrainOwner {
        database: usize,
    },
    StoreOutage {
        outage: bool,
    },
    LoseStoreAnswers {
        count: u32,
    },
    LosePromoteAnswer,
    PrimaryLeaves {
        database: usize,
    },
    ApplyConfiguration {
        version: u64,
    },
    /// Kills a host that owns nothing, with the callers that are connected to it.
    KillOtherThanOwner,
    RestartHosts,
    RestartInstances,
    HealAll,
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillPrimary { database } => self.on_primary(database, Self::kill_instance),
            Fault::CutPrimaryFromGroup { database } => {
                self.on_primary(database, |world, id| world.instance(id).cut_group = true);
            }
            Fault::CutPrimaryFromProxies { database } => {
                self.on_primary(database, |world, id| world.instance(id).cut_proxies = true);
            }
            Fault::PausePrimary { database, for_us } => {
                let until_us = self.now_us + for_us;
                self.on_primary(database, |world, id| {
                    let row = world.instance(id);
                    row.paused_until_us = row.paused_until_us.max(until_us);
                });
            }
            Fault::KillReplica { database } => {
                let primary = self.primary(database).unwrap_or(0);
                let index = u8::try_from((primary + 1) % 3).expect("few instances");
                self.kill_instance(InstanceId { database: self.database_ids[database], index });
            }
            Fault::LagReplicas { database, lag_us } => {
                let id = self.database_ids[database];
                for instance in self.databases.get_mut(&id).into_iter().flatten() {
                    instance.lag_us = lag_us;
                }
            }
            Fault::KillOwner { database } => self.on_owner(database, Self::kill_host),
            Fault::PauseOwner { database, for_us } => {
                let until_us = self.now_us + for_us;
                // What a longer pause has put off comes at its end, so that a second pause must not end it.
                self.on_owner(database, |world, host| {
                    let row = &mut world.hosts[host];
                    row.paused_until_us = row.paused_until_us.max(until_us);
                });
            }
            Fault::CutOwnerFromPeers { database } => {
                self.on_owner(database, |world, host| world.hosts[host].cut_peers = true);
            }
            Fault::DrainOwner { database } => self.on_owner(database, |world, host| {
                let incarnation = world.hosts[host].incarnation;
                world.send_to_control(host, incarnation, 0, control::Event::DrainRequested);
            }),
            Fault::StoreOutage { outage } => self.store.outage = outage,
            Fault::LoseStoreAnswers { count } => self.store.lose_answers = count,
            Fault::LosePromoteAnswer => self.settings.lose_promote_answer = true,
            Fault::PrimaryLeaves { database } => self.on_primary(database, Self::announce_leaving),
            Fault::ApplyConfiguration { version } => {
                let configuration = self.settings.configuration(version);
                self.configurations.insert(version, configuration.into());
                self.store.apply(version);
            }
            Fault::KillOtherThanOwner => {
                let owner = self.owner(0);
                if let Some(host) = (0..self.hosts.len()).find(|host| Some(*host) != owner) {
                    self.kill_host(host);
                }
            }
            Fault::RestartHosts => self.restart_hosts(),
            Fault::RestartInstances => self.restart_instances(),
            Fault::HealAll => self.heal_all(),
        }
    }

    fn on_primary(&mut self, database: usize, action: impl Fn(&mut Self, InstanceId)) {
        if let Some(index) = self.primary(database) {
            let index = u8::try_from(index).expect("few instances");
            action(self, InstanceId { database: self.database_ids[database], index });
        }
    }

    fn on_owner(&mut self, database: usize, action: impl Fn(&mut Self, usize)) {
        if let Some(host) = self.owner(database) {
            action(self, host);
        }
    }

    fn kill_instance(&mut self, id: InstanceId) {
        let row = self.instance(id);
        if row.up {
            row.up = false;
            row.primary_term = None;
            self.break_connections_to(id);
        }
    }

    fn kill_host(&mut self, host: usize) {
        if !self.hosts[host].alive {
            return;
        }
        self.close_connections_of(host);
        let row = &mut self.hosts[host];
        row.alive = false;
        let id = row.id;
        let callers: BTreeMap<_, _> = std::mem::take(&mut row.callers);
        for caller in callers.into_values() {
            let connection = self.callers[caller as usize].connection;
            let at_us = self.now_us + CALLER_HOP_US;
            let reply = Reply::Disconnected;
            self.schedule(at_us, Happening::Answer { caller, connection, reply });
        }
        for other in 0..self.hosts.len() {
            if other != host {
                let incarnation = self.hosts[other].incarnation;
                let event = traffic::Event::LinkLost { host: id };
                self.send_to_traffic(other, incarnation, HOP_US, event);
            }
        }
    }

    /// Starts the hosts that are dead again, and those that were shut down.
    fn restart_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].view.draining {
                self.kill_host(host);
            }
            if self.hosts[host].alive {
                continue;
            }
            let incarnation = self.hosts[host].incarnation + 1;
            self.hosts[host] = hosts::new_host(&self.settings, host, incarnation);
            self.schedule(self.now_us, Happening::Wake { host });
        }
    }

    fn restart_instances(&mut self) {
        for instance in self.databases.values_mut().flatten() {
            if !instance.up {
                instance.restart();
            }
        }
    }

    fn announce_leaving(&mut self, id: InstanceId) {
        let configuration = self.configurations.values().next_back().expect("one exists");
        let database = configuration.database(id.database).expect("the database exists");
        let instance = &database.instances[usize::from(id.index)];
        let entry = HostEntry {
            name: format!("{}-{}", database.name, instance.name),
            address: instance.address.ip(),
            leaving: true,
        };
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            let event = control::Event::HostListRead(vec![entry.clone()]);
            let after_us = self.random.below(1_000_000);
            self.send_to_control(host, incarnation, after_us, event);
        }
    }

    fn heal_all(&mut self) {
        self.store.outage = false;
        self.store.lose_answers = 0;
        self.settings.lose_promote_answer = false;
        let now_us = self.now_us;
        let instances = self.databases.values().flatten().map(|one| one.paused_until_us);
        let hosts = self.hosts.iter().map(|host| host.paused_until_us);
        let paused: Vec<u64> = instances.chain(hosts).filter(|until| *until > now_us).collect();
        for until_us in paused {
            self.advance_queue(until_us);
        }
        for instance in self.databases.values_mut().flatten() {
            instance.cut_group = false;
            instance.cut_proxies = false;
            instance.paused_until_us = instance.paused_until_us.min(now_us);
            instance.lag_us = instance.lag_us.min(50_000);
        }
        for host in &mut self.hosts {
            host.cut_peers = false;
            host.paused_until_us = host.paused_until_us.min(now_us);
        }
        self.restart_instances();
        self.restart_hosts();
    }
}
