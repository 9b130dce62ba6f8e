//! A randomized soak of the real programs: faults from outside, promises checked from what callers
//! and instances see. `SOAK=FROM..TO` plays other seeds.

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

/// Seeds that every run of the tests plays.
const SEEDS: std::ops::Range<u64> = 1..3;
const PROXIES: usize = 3;
const INSTANCES: usize = 3;
const FAULTS: usize = 10;

/// What callers have been told.
#[derive(Default)]
struct Told {
    /// Data of writes that were acknowledged.
    acknowledged: Vec<String>,
    /// Data of writes that were refused as not run.
    refused: Vec<String>,
    /// Broken promises.
    violations: Vec<String>,
}

/// Guards against any order of faults in which an acknowledged write is lost or doubled, a refused
/// one is kept, a superseded primary's write is acknowledged, or a fence falls.
#[test]
fn soak() {
    let (from, to) = range();
    for seed in from..to {
        let violations = play(seed);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

fn range() -> (u64, u64) {
    let Ok(text) = std::env::var("SOAK") else { return (SEEDS.start, SEEDS.end) };
    let (from, to) = text.split_once("..").expect("SOAK=FROM..TO");
    (from.parse().expect("a number"), to.parse().expect("a number"))
}

/// The platform, the proxies, and the relays between them.
struct Fleet {
    platform: Platform,
    proxies: Vec<Proxy>,
    /// Before each instance.
    instance_relays: Vec<Relay>,
    /// Between each proxy and the store.
    store_relays: Vec<Relay>,
}

impl Fleet {
    fn start() -> Self {
        let platform = Platform::start().expect("the stand-ins start");
        let before = |index| Relay::start(platform.instance_address(index));
        let instance_relays: Vec<Relay> = (0..INSTANCES).map(before).collect();
        for (index, relay) in instance_relays.iter().enumerate() {
            platform.publish_at(index, relay.address);
        }
        let store_relays: Vec<Relay> =
            (0..PROXIES).map(|_| Relay::start(platform.store_address())).collect();
        let start = |(index, relay): (usize, &Relay)| {
            Proxy::start_with_store(index, &platform, relay.address)
        };
        let proxies = store_relays.iter().enumerate().map(start).collect();
        Self { platform, proxies, instance_relays, store_relays }
    }

    /// Kills an instance. Its relay closes its port too, or a proxy would see an instance that accepts
    /// connections and has no place for them.
    fn kill_instance(&mut self, index: usize) {
        self.platform.kill(index);
        self.instance_relays[index].close();
    }

    fn fault(&mut self, random: &mut u64) {
        let index = (next(random) % PROXIES as u64) as usize;
        let proxy = &mut self.proxies[index];
        match next(random) % 13 {
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
            8 => self.instance_relays[index].set_mode(mode(random)),
            9 => self.instance_relays[self.platform.leader()].set_mode(mode(random)),
            10 => self.store_relays[index].set_mode(mode(random)),
            11 => self.instance_relays[index].reset(),
            _ => self.heal(),
        }
    }

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

fn mode(random: &mut u64) -> RelayMode {
    const MODES: [RelayMode; 5] = [
        RelayMode::Pass,
        RelayMode::Delay,
        RelayMode::CutForth,
        RelayMode::CutBack,
        RelayMode::Silent,
    ];
    MODES[(next(random) % MODES.len() as u64) as usize]
}

fn play(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start();
    fleet.proxies.iter().for_each(Proxy::wait_ready);
    let told = Arc::new(Mutex::new(Told::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2 * PROXIES)
        .map(|index| {
            let address = fleet.proxies[index % PROXIES].callers;
            let (told, is_over) = (Arc::clone(&told), Arc::clone(&is_over));
            thread::spawn(move || call(index, address, &told, &is_over))
        })
        .collect();
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for _ in 0..FAULTS {
        fleet.fault(&mut random);
        thread::sleep(Duration::from_millis(100 + next(&mut random) % 900));
    }
    fleet.heal();
    fleet.proxies.iter().for_each(Proxy::wait_ready);
    write_until_served(fleet.proxies[0].callers, "strict", "last");
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    check(&lock(&told), &fleet.platform)
}

/// Xorshift, for the choice of faults.
fn next(random: &mut u64) -> u64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    *random
}

/// A caller that writes and reads its own item until the run is over.
fn call(index: usize, address: SocketAddr, told: &Mutex<Told>, is_over: &AtomicBool) {
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
            let Ok(answer) = caller.query(&format!("WRITE {item} {data}")) else { break };
            note_write(told, data, &answer.outcome);
            if answer.is_complete() {
                last = number;
            }
            thread::sleep(Duration::from_millis(5));
            let Ok(answer) = caller.query(&format!("READ {item}")) else { break };
            if answer.is_complete() && number_of(&answer.rows) < last {
                let line = format!("a read of {item} shows {:?} after {last}", answer.rows);
                lock(told).violations.push(line);
            }
        }
    }
}

fn lock(told: &Mutex<Told>) -> MutexGuard<'_, Told> {
    told.lock().unwrap_or_else(PoisonError::into_inner)
}

fn note_write(told: &Mutex<Told>, data: String, outcome: &str) {
    let mut told = lock(told);
    match outcome {
        "COMPLETE" => told.acknowledged.push(data),
        "BUSY" | "READONLY" | "ABORTED" | "LAGGING" => told.refused.push(data),
        _ => {}
    }
}

/// Number in the only row, such as 7 in `item1-7`.
fn number_of(rows: &[String]) -> u32 {
    let number = rows.first().and_then(|row| row.split('-').nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Compares what callers were told with what the replica set has.
fn check(told: &Told, platform: &Platform) -> Vec<String> {
    let mut violations = told.violations.clone();
    let mut kept: BTreeMap<String, usize> = BTreeMap::new();
    for write in platform.writes() {
        *kept.entry(write.data).or_default() += 1;
    }
    for data in &told.acknowledged {
        match kept.get(data) {
            Some(1) => {}
            Some(count) => violations.push(format!("{data} is kept {count} times")),
            None => violations.push(format!("{data} was acknowledged and is lost")),
        }
    }
    for data in told.refused.iter().filter(|data| kept.contains_key(*data)) {
        violations.push(format!("{data} was refused as not run and is kept"));
    }
    for write in platform.superseded_writes() {
        if told.acknowledged.contains(&write.data) {
            violations.push(format!("{} of a superseded primary was acknowledged", write.data));
        }
    }
    let fences = platform.fences();
    if !fences.is_sorted() {
        violations.push(format!("a fence fell: {fences:?}"));
    }
    violations
}
