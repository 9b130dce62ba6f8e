//! Randomized soak test of real proxies: it injects faults and checks the guarantees given to
//! callers against the writes that instances have. `SOAK=FROM..TO` runs other seeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use flamingorock_standin::jardinet::{Platform, StoreFault};
use rustix::process::Signal;

use super::relay::{Relay, RelayMode};
use super::support::{Caller, Proxy, write_until_served};

/// Seeds of an ordinary test run.
const SEEDS: std::ops::Range<u64> = 1..3;
const PROXIES: usize = 3;
const INSTANCES: usize = 3;
/// Faults that each seed injects.
const FAULTS: usize = 10;

/// Outcomes of the callers' statements.
#[derive(Default)]
struct Outcomes {
    /// Data of writes that were acknowledged.
    acknowledged: Vec<String>,
    /// Data of writes that were refused as not run.
    refused: Vec<String>,
    /// Violated guarantees.
    violations: Vec<String>,
}

/// Guards against sequences of faults after which an acknowledged write is lost or duplicated, a
/// refused write is stored, a read misses an earlier write of its caller, a write of a superseded
/// primary is acknowledged or a promotion has a lower fencing token than an earlier one.
#[test]
fn soak() {
    let (from, to) = seed_range();
    for seed in from..to {
        let violations = run_seed(seed);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

fn seed_range() -> (u64, u64) {
    let Ok(text) = std::env::var("SOAK") else { return (SEEDS.start, SEEDS.end) };
    let (from, to) = text.split_once("..").expect("SOAK=FROM..TO");
    (from.parse().expect("a number"), to.parse().expect("a number"))
}

/// The platform, the proxies and the relays between them.
struct Fleet {
    platform: Platform,
    proxies: Vec<Proxy>,
    /// Relay in front of each instance.
    instance_relays: Vec<Relay>,
    /// Relay between each proxy and the store.
    store_relays: Vec<Relay>,
}

impl Fleet {
    fn start() -> Self {
        let platform = Platform::start().expect("the stand-ins start");
        let relay_for = |index| Relay::start(platform.instance_address(index));
        let instance_relays: Vec<Relay> = (0..INSTANCES).map(relay_for).collect();
        for (index, relay) in instance_relays.iter().enumerate() {
            platform.publish_at(index, relay.address);
        }
        let store_relays: Vec<Relay> =
            (0..PROXIES).map(|_| Relay::start(platform.store_address())).collect();
        let start_proxy = |(index, relay): (usize, &Relay)| {
            Proxy::start_with_store(index, &platform, relay.address)
        };
        let proxies = store_relays.iter().enumerate().map(start_proxy).collect();
        Self { platform, proxies, instance_relays, store_relays }
    }

    /// Kills an instance and closes the port of its relay. If the port stayed open, proxies would
    /// take the instance for one that accepts connections but has no capacity for them.
    fn kill_instance(&mut self, index: usize) {
        self.platform.kill(index);
        self.instance_relays[index].close();
    }

    /// Injects a random fault, or heals all of them.
    fn inject_fault(&mut self, random: &mut u64) {
        let index = (next_random(random) % PROXIES as u64) as usize;
        let proxy = &mut self.proxies[index];
        match next_random(random) % 13 {
            0 => self.kill_instance(self.platform.leader()),
            1 => self.kill_instance(index),
            2 => self.platform.set_store_fault(StoreFault::Busy),
            3 => self.platform.set_store_fault(StoreFault::LosesAnswers),
            4 => self.platform.revoke_leases(),
            5 => proxy.signal(Signal::STOP),
            6 => proxy.kill(),
            7 => {
                proxy.signal(Signal::HUP);
                proxy.signal(Signal::CONT);
            }
            8 => self.instance_relays[index].set_mode(random_mode(random)),
            9 => self.instance_relays[self.platform.leader()].set_mode(random_mode(random)),
            10 => self.store_relays[index].set_mode(random_mode(random)),
            11 => self.instance_relays[index].reset(),
            _ => self.heal(),
        }
    }

    /// Removes all faults: restarts instances and proxies, and lets the relays forward data.
    fn heal(&mut self) {
        self.platform.set_store_fault(StoreFault::None);
        for (index, relay) in self.instance_relays.iter().enumerate() {
            self.platform.restart(index).expect("the instance starts");
            relay.open();
        }
        for relay in self.instance_relays.iter().chain(&self.store_relays) {
            relay.set_mode(RelayMode::Pass);
        }
        for proxy in &mut self.proxies {
            proxy.signal(Signal::CONT);
            if !proxy.is_running() {
                proxy.spawn();
            }
        }
    }
}

fn random_mode(random: &mut u64) -> RelayMode {
    const MODES: [RelayMode; 5] = [
        RelayMode::Pass,
        RelayMode::Delay,
        RelayMode::HoldUpstream,
        RelayMode::HoldDownstream,
        RelayMode::Unresponsive,
    ];
    MODES[(next_random(random) % MODES.len() as u64) as usize]
}

/// Runs a fleet under the faults of a seed. Returns the violated guarantees.
fn run_seed(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start();
    fleet.proxies.iter().for_each(Proxy::wait_ready);
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2 * PROXIES)
        .map(|index| {
            let address = fleet.proxies[index % PROXIES].callers;
            let (outcomes, is_over) = (Arc::clone(&outcomes), Arc::clone(&is_over));
            thread::spawn(move || run_caller(index, address, &outcomes, &is_over))
        })
        .collect();
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for _ in 0..FAULTS {
        fleet.inject_fault(&mut random);
        thread::sleep(Duration::from_millis(100 + next_random(&mut random) % 900));
    }
    fleet.heal();
    fleet.proxies.iter().for_each(Proxy::wait_ready);
    write_until_served(fleet.proxies[0].callers, "strict", "last");
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    check(&lock(&outcomes), &fleet.platform)
}

/// Xorshift generator, for the choice of faults.
fn next_random(random: &mut u64) -> u64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    *random
}

/// Writes and reads an item of its own until the run is over.
fn run_caller(index: usize, address: SocketAddr, outcomes: &Mutex<Outcomes>, is_over: &AtomicBool) {
    let mut number = 0;
    let item = format!("item{index}");
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut caller) = Caller::connect(address, "strict") else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut last = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let data = format!("{item}-{number}");
            let Ok(reply) = caller.query(&format!("WRITE {item} {data}")) else { break };
            record_write(outcomes, data, &reply.outcome);
            if reply.is_complete() {
                last = number;
            }
            thread::sleep(Duration::from_millis(5));
            let Ok(reply) = caller.query(&format!("READ {item}")) else { break };
            if reply.is_complete() && number_of(&reply.rows) < last {
                let line = format!(
                    "a read of {item} returned {:?} after write {last} was acknowledged",
                    reply.rows
                );
                lock(outcomes).violations.push(line);
            }
        }
    }
}

fn lock(outcomes: &Mutex<Outcomes>) -> MutexGuard<'_, Outcomes> {
    outcomes.lock().unwrap_or_else(PoisonError::into_inner)
}

fn record_write(outcomes: &Mutex<Outcomes>, data: String, outcome: &str) {
    let mut outcomes = lock(outcomes);
    match outcome {
        "COMPLETE" => outcomes.acknowledged.push(data),
        "BUSY" | "READONLY" | "ABORTED" | "LAGGING" => outcomes.refused.push(data),
        _ => {}
    }
}

/// Number of the write whose data is in the only row, such as 7 in `item1-7`.
fn number_of(rows: &[String]) -> u32 {
    let number = rows.first().and_then(|row| row.split('-').nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Compares the outcomes with the writes that the replica set has. Returns the violated guarantees.
fn check(outcomes: &Outcomes, platform: &Platform) -> Vec<String> {
    let mut violations = outcomes.violations.clone();
    let mut stored: BTreeMap<String, usize> = BTreeMap::new();
    for write in platform.writes() {
        *stored.entry(write.data).or_default() += 1;
    }
    for data in &outcomes.acknowledged {
        match stored.get(data) {
            Some(1) => {}
            Some(count) => violations.push(format!("{data} is stored {count} times")),
            None => violations.push(format!("{data} was acknowledged but is lost")),
        }
    }
    for data in outcomes.refused.iter().filter(|data| stored.contains_key(*data)) {
        violations.push(format!("{data} was refused as not run but is stored"));
    }
    for write in platform.superseded_writes() {
        if outcomes.acknowledged.contains(&write.data) {
            violations.push(format!(
                "{} was acknowledged but written by a superseded primary",
                write.data
            ));
        }
    }
    let fences = platform.fences();
    if !fences.is_sorted() {
        violations.push(format!("a fencing token decreased: {fences:?}"));
    }
    violations
}
