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

use super::support::{Caller, Proxy, write_until_served};

/// Seeds that every run of the tests plays.
const SEEDS: std::ops::Range<u64> = 1..3;
const PROXIES: usize = 3;
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

fn play(seed: u64) -> Vec<String> {
    let mut platform = Platform::start().expect("the stand-ins start");
    let mut proxies: Vec<Proxy> =
        (0..PROXIES).map(|index| Proxy::start(index, &platform)).collect();
    proxies.iter().for_each(Proxy::wait_ready);
    let told = Arc::new(Mutex::new(Told::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2 * PROXIES)
        .map(|index| {
            let address = proxies[index % PROXIES].callers;
            let (told, is_over) = (Arc::clone(&told), Arc::clone(&is_over));
            thread::spawn(move || call(index, address, &told, &is_over))
        })
        .collect();
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for _ in 0..FAULTS {
        fault(&mut random, &mut platform, &mut proxies);
        thread::sleep(Duration::from_millis(100 + next(&mut random) % 900));
    }
    heal(&mut platform, &mut proxies);
    proxies.iter().for_each(Proxy::wait_ready);
    write_until_served(proxies[0].callers, "strict", "last");
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    check(&lock(&told), &platform)
}

/// Xorshift, for the choice of faults.
fn next(random: &mut u64) -> u64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    *random
}

fn fault(random: &mut u64, platform: &mut Platform, proxies: &mut [Proxy]) {
    let proxy = (next(random) % PROXIES as u64) as usize;
    match next(random) % 9 {
        0 => platform.kill(platform.leader()),
        1 => platform.kill((next(random) % 3) as usize),
        2 => platform.set_store_fault(StoreFault::Busy),
        3 => platform.set_store_fault(StoreFault::LosesAnswers),
        4 => platform.revoke_leases(),
        5 => proxies[proxy].signal(Signal::STOP),
        6 => proxies[proxy].kill(),
        7 => {
            proxies[proxy].signal(Signal::HUP);
            proxies[proxy].signal(Signal::CONT);
        }
        _ => heal(platform, proxies),
    }
}

fn heal(platform: &mut Platform, proxies: &mut [Proxy]) {
    platform.set_store_fault(StoreFault::None);
    for index in 0..3 {
        platform.restart(index).expect("the instance starts");
    }
    for proxy in proxies {
        proxy.signal(Signal::CONT);
        if !proxy.is_running() {
            proxy.spawn();
        }
    }
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
