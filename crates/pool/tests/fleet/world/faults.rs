//! Faults.

use super::*;

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
