//! Fault injection.

use super::*;

impl World {
    pub fn crash_instance(&mut self, instance: usize) {
        self.instances[instance].is_up = false;
        for index in 0..PROXIES {
            let incarnation = self.proxies[index].incarnation;
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
                    self.schedule(
                        LATENCY_US,
                        Scheduled::ToTraffic { proxy: index, incarnation, event },
                    );
                }
            }
        }
    }

    /// Restarts an instance with its log, as a replica if another instance is the primary.
    pub fn restart_instance(&mut self, instance: usize) {
        if self.instances[instance].is_up {
            return;
        }
        let primary = self.primary;
        let (term, log) = (self.instances[primary].term, self.instances[primary].log.clone());
        let row = &mut self.instances[instance];
        row.is_up = true;
        if primary != instance {
            row.is_primary = false;
            row.term = term;
            row.log = log;
        }
    }

    /// Deletes the entries of all instances from the store while the instances keep running.
    pub fn expire_entries(&mut self) {
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
        self.schedule_start(index);
    }

    pub fn freeze_proxy(&mut self, index: usize, span_us: u64) {
        self.proxies[index].frozen_until_us = self.now_us + span_us;
    }

    /// Cuts the links between a group of proxies and the others.
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
