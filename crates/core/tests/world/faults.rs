//! Fault injection.

use std::collections::BTreeMap;

use flamingorock_core::control::{self, HostEntry};
use flamingorock_core::{InstanceId, traffic};

use super::callers::Reply;
use super::{CALLER_LATENCY_US, NETWORK_LATENCY_US, ScheduledEvent, World, hosts};

/// A fault to inject, or the end of one. `database` is an index into `World::database_ids`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    KillPrimary {
        database: usize,
    },
    PartitionPrimaryFromGroup {
        database: usize,
    },
    PartitionPrimaryFromProxies {
        database: usize,
    },
    PausePrimary {
        database: usize,
        duration_us: u64,
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
        duration_us: u64,
    },
    PartitionOwnerFromPeers {
        database: usize,
    },
    DrainOwner {
        database: usize,
    },
    StoreOutage {
        outage: bool,
    },
    LoseStoreResponses {
        count: u32,
    },
    LosePromoteResponse,
    PrimaryLeaves {
        database: usize,
    },
    ApplyConfiguration {
        version: u64,
    },
    /// Kills a host that does not own the first database and disconnects its callers.
    KillNonOwner,
    RestartHosts,
    RestartInstances,
    HealAll,
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillPrimary { database } => self.with_primary(database, Self::kill_instance),
            Fault::PartitionPrimaryFromGroup { database } => {
                self.with_primary(database, |world, id| {
                    world.instance(id).partitioned_from_group = true
                });
            }
            Fault::PartitionPrimaryFromProxies { database } => {
                self.with_primary(database, |world, id| {
                    world.instance(id).partitioned_from_proxies = true
                });
            }
            Fault::PausePrimary { database, duration_us } => {
                let until_us = self.now_us + duration_us;
                self.with_primary(database, |world, id| {
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
            Fault::KillOwner { database } => self.with_owner(database, Self::kill_host),
            Fault::PauseOwner { database, duration_us } => {
                let until_us = self.now_us + duration_us;
                // Events deferred by a pause are scheduled at its end. A shorter second pause must not
                // move the end forward, or later events would overtake the deferred ones.
                self.with_owner(database, |world, host| {
                    let row = &mut world.hosts[host];
                    row.paused_until_us = row.paused_until_us.max(until_us);
                });
            }
            Fault::PartitionOwnerFromPeers { database } => {
                self.with_owner(database, |world, host| {
                    world.hosts[host].partitioned_from_peers = true
                });
            }
            Fault::DrainOwner { database } => self.with_owner(database, |world, host| {
                let incarnation = world.hosts[host].incarnation;
                world.send_to_control(host, incarnation, 0, control::Event::DrainRequested);
            }),
            Fault::StoreOutage { outage } => self.store.outage = outage,
            Fault::LoseStoreResponses { count } => self.store.lost_responses = count,
            Fault::LosePromoteResponse => self.settings.lose_promote_response = true,
            Fault::PrimaryLeaves { database } => {
                self.with_primary(database, Self::announce_leaving)
            }
            Fault::ApplyConfiguration { version } => {
                let configuration = self.settings.configuration(version);
                self.configurations.insert(version, configuration.into());
                self.store.apply(version);
            }
            Fault::KillNonOwner => {
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

    fn with_primary(&mut self, database: usize, action: impl Fn(&mut Self, InstanceId)) {
        if let Some(index) = self.primary(database) {
            let index = u8::try_from(index).expect("few instances");
            action(self, InstanceId { database: self.database_ids[database], index });
        }
    }

    fn with_owner(&mut self, database: usize, action: impl Fn(&mut Self, usize)) {
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
            let at_us = self.now_us + CALLER_LATENCY_US;
            let reply = Reply::Disconnected;
            self.schedule(at_us, ScheduledEvent::Reply { caller, connection, reply });
        }
        for other in 0..self.hosts.len() {
            if other != host {
                let incarnation = self.hosts[other].incarnation;
                let event = traffic::Event::LinkLost { host: id };
                self.send_to_traffic(other, incarnation, NETWORK_LATENCY_US, event);
            }
        }
    }

    /// Restarts the hosts that are dead and, as new processes, those that are draining.
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
            self.schedule(self.now_us, ScheduledEvent::Wake { host });
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
        self.store.lost_responses = 0;
        self.settings.lose_promote_response = false;
        let now_us = self.now_us;
        let instances = self.databases.values().flatten().map(|one| one.paused_until_us);
        let hosts = self.hosts.iter().map(|host| host.paused_until_us);
        let paused: Vec<u64> = instances.chain(hosts).filter(|until| *until > now_us).collect();
        for until_us in paused {
            self.reschedule_to_now(until_us);
        }
        for instance in self.databases.values_mut().flatten() {
            instance.partitioned_from_group = false;
            instance.partitioned_from_proxies = false;
            instance.paused_until_us = instance.paused_until_us.min(now_us);
            instance.lag_us = instance.lag_us.min(50_000);
        }
        for host in &mut self.hosts {
            host.partitioned_from_peers = false;
            host.paused_until_us = host.paused_until_us.min(now_us);
        }
        self.restart_instances();
        self.restart_hosts();
    }
}
