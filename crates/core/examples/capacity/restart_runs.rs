//! Measures how fast a restarted host in a fleet of 500 hosts learns the owners of 780 databases.

use crate::fleet::Fleet;
use crate::meter::RUNS;
use crate::report::{heading, line};

const HOSTS: u16 = 500;
const DATABASES: usize = 780;
const SECOND_US: u64 = 1_000_000;
/// Time after the restart at which the measurement stops.
const LIMIT_US: u64 = 120 * SECOND_US;
const RESTARTED_HOST: usize = 123;
/// Shares of the owners, in percent, whose time until they are known is measured.
const SHARES_PERCENT: [usize; 3] = [50, 90, 100];

pub fn run() {
    heading("Restart of one of 500 hosts, 30 s after the start of the fleet, virtual time");
    let seeds = 1..=RUNS as u64;
    let runs: Vec<[f64; 4]> = std::thread::scope(|scope| {
        let threads: Vec<_> = seeds.map(|seed| scope.spawn(move || measure(seed))).collect();
        threads.into_iter().map(|thread| thread.join().expect("the run ends")).collect()
    });
    for (index, share) in SHARES_PERCENT.into_iter().enumerate() {
        let values: Vec<f64> = runs.iter().map(|run| run[index]).collect();
        line(&format!("knows {share} % of the owners after"), "s", &values);
    }
    let calls: Vec<f64> = runs.iter().map(|run| run[3]).collect();
    line("store calls of the new process until then", "", &calls);
}

/// Returns the time in seconds until each share is known, and the number of store calls until then.
fn measure(seed: u64) -> [f64; 4] {
    let mut fleet = Fleet::new(HOSTS, DATABASES, seed);
    fleet.run_for(30 * SECOND_US);
    fleet.kill(RESTARTED_HOST);
    fleet.run_for(5 * SECOND_US);
    fleet.restart(RESTARTED_HOST);
    let start_us = fleet.now_us;
    let mut figures = [f64::INFINITY; 4];
    for (index, share) in SHARES_PERCENT.into_iter().enumerate() {
        let wanted = DATABASES * share / 100;
        let left_us = (start_us + LIMIT_US).saturating_sub(fleet.now_us);
        if fleet
            .run_until(left_us, |fleet| {
                fleet.known_owners_and_store_calls(RESTARTED_HOST).0 >= wanted
            })
            .is_some()
        {
            figures[index] = (fleet.now_us - start_us) as f64 / 1e6;
            println!("seed {seed}: {share} % after {:.1} s", figures[index]);
        }
    }
    figures[3] = fleet.known_owners_and_store_calls(RESTARTED_HOST).1 as f64;
    figures
}
