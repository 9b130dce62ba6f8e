//! Measurements of a simulated fleet of 500 hosts with 780 databases.

use std::collections::BTreeMap;

use crate::fixture::configuration;
use crate::fleet::{Fleet, Totals};
use crate::meter::RUNS;
use crate::report::{heading, line};

const HOSTS: u16 = 500;
const DATABASES: usize = 780;
const SECOND_US: u64 = 1_000_000;
const STEADY_STATE_US: u64 = 10 * SECOND_US;
/// Number of runs that execute concurrently.
const PARALLEL_RUNS: usize = 5;

type Figures = BTreeMap<&'static str, f64>;

pub fn run() {
    heading("Fleet: 500 hosts, 780 databases, virtual time");
    let seeds: Vec<u64> = (1..=RUNS as u64).collect();
    let mut all: Vec<Figures> = Vec::new();
    for seeds in seeds.chunks(PARALLEL_RUNS) {
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                seeds.iter().map(|&seed| scope.spawn(move || measure(seed))).collect();
            for thread in threads {
                let figures = thread.join().expect("the run ends");
                println!("run completed: {figures:.1?}");
                all.push(figures);
            }
        });
    }
    for &name in all[0].keys() {
        let values: Vec<f64> = all.iter().filter_map(|run| run.get(name).copied()).collect();
        line(name, "", &values);
    }
}

fn measure(seed: u64) -> Figures {
    let mut figures = Figures::new();
    let mut fleet = Fleet::new(HOSTS, DATABASES, seed);
    measure_cold_start(&mut fleet, &mut figures);
    measure_steady_state(&mut fleet, &mut figures, &EARLY);
    fleet.run_for(100 * SECOND_US);
    measure_steady_state(&mut fleet, &mut figures, &LATE);
    measure_configuration_change(&mut fleet, &mut figures);
    measure_owner_killed(&mut fleet, &mut figures);
    measure_store_outage(&mut fleet, &mut figures);
    let racks: [(&str, &str, Vec<usize>); 2] = [
        ("5a rack, spread numbers: all served again, ms", "5b served after 5 s", spread_hosts(20)),
        (
            "6a rack, consecutive numbers: all served again, ms",
            "6b served after 5 s",
            consecutive_hosts(20),
        ),
    ];
    for (name, after_name, hosts) in racks {
        measure_hosts_killed(&mut fleet, &mut figures, name, after_name, &hosts);
    }
    let centre: Vec<usize> = (0..usize::from(HOSTS)).filter(|host| host % 4 == 1).collect();
    let (name, after) = ("7a data centre: all served again, ms", "7b served after 5 s");
    measure_hosts_killed(&mut fleet, &mut figures, name, after, &centre);
    figures
}

fn spread_hosts(count: usize) -> Vec<usize> {
    (0..count).map(|index| index * 25 + 7).collect()
}

fn consecutive_hosts(count: usize) -> Vec<usize> {
    (200..200 + count).collect()
}

fn millis(time_us: Option<u64>) -> f64 {
    time_us.map_or(f64::INFINITY, |time_us| time_us as f64 / 1e3)
}

fn measure_cold_start(fleet: &mut Fleet, figures: &mut Figures) {
    let time_us = fleet.run_until(120 * SECOND_US, |fleet| fleet.served_count() == DATABASES);
    figures.insert("0a cold start: all databases served, ms", millis(time_us));
    let known_us = fleet.run_until(120 * SECOND_US, |fleet| {
        fleet.views().all(|(_, view)| view.owners.len() == DATABASES)
    });
    figures.insert("0b cold start: owners known everywhere, additional ms", millis(known_us));
    let peak = fleet.store.peak_between(0, fleet.now_us);
    figures.insert("0c cold start: peak store calls per s", peak as f64);
    fleet.run_for(30 * SECOND_US);
}

/// Names of the figures of a period without faults or changes.
type SteadyStateNames = [&'static str; 12];

const EARLY: SteadyStateNames = [
    "1a 40 s after the start: datagrams sent per node and s",
    "1b 40 s after the start: bytes sent per node and s",
    "1c 40 s after the start: control CPU, us per node and s",
    "1d 40 s after the start: ticks per node and s",
    "1e 40 s after the start: store reads per s",
    "1f 40 s after the start: store writes per s",
    "1g 40 s after the start: watches open",
    "1h 40 s after the start: takeovers and claims per s",
    "1i 40 s after the start: step-downs per s",
    "1j 40 s after the start: suspicions per s",
    "1k 40 s after the start: views per node and s",
    "1l 40 s after the start: bytes per datagram",
];

const LATE: SteadyStateNames = [
    "1m 150 s after the start: datagrams sent per node and s",
    "1n 150 s after the start: bytes sent per node and s",
    "1o 150 s after the start: control CPU, us per node and s",
    "1p 150 s after the start: ticks per node and s",
    "1q 150 s after the start: store reads per s",
    "1r 150 s after the start: store writes per s",
    "1s 150 s after the start: watches open",
    "1t 150 s after the start: takeovers and claims per s",
    "1u 150 s after the start: step-downs per s",
    "1v 150 s after the start: suspicions per s",
    "1w 150 s after the start: views per node and s",
    "1x 150 s after the start: bytes per datagram",
];

fn measure_steady_state(fleet: &mut Fleet, figures: &mut Figures, names: &SteadyStateNames) {
    let start_us = fleet.now_us;
    let before = fleet.change_counts();
    fleet.totals = Totals::default();
    fleet.run_for(STEADY_STATE_US);
    let totals = fleet.totals;
    let calls = fleet.store.calls_between(start_us, fleet.now_us);
    let after = fleet.change_counts();
    let per_second = |value: f64| value / (STEADY_STATE_US / SECOND_US) as f64;
    let per_node = |value: f64| per_second(value) / f64::from(HOSTS);
    let change = |index: usize| per_second((after[index] - before[index]) as f64);
    let values = [
        per_node(totals.datagrams as f64),
        per_node(totals.datagram_bytes as f64),
        per_node(totals.cpu_us),
        per_node(totals.ticks as f64),
        per_second(calls.reads as f64),
        per_second(calls.writes as f64),
        fleet.store.watches.len() as f64,
        change(0),
        change(1),
        change(2),
        change(3) / f64::from(HOSTS),
        totals.datagram_bytes as f64 / totals.datagrams as f64,
    ];
    figures.extend(names.iter().copied().zip(values));
}

fn measure_configuration_change(fleet: &mut Fleet, figures: &mut Figures) {
    let start_us = fleet.now_us;
    fleet.totals = Totals::default();
    fleet.apply(configuration(2, DATABASES, 5));
    let time_us = fleet.run_until(30 * SECOND_US, |fleet| {
        fleet.views().all(|(_, view)| view.configuration.version == 2)
    });
    figures.insert("2a configuration: in force everywhere, ms", millis(time_us));
    figures.insert("2b configuration: datagrams until then", fleet.totals.datagrams as f64);
    figures.insert("2c configuration: documents sent", fleet.totals.documents as f64);
    let peak = fleet.store.peak_between(start_us, fleet.now_us);
    figures.insert("2d configuration: peak store calls per s", peak as f64);
    fleet.run_for(5 * SECOND_US);
}

fn measure_owner_killed(fleet: &mut Fleet, figures: &mut Figures) {
    let database = fleet.configuration.databases[11].id;
    let Some((owner, epoch)) = fleet.serving_host(database) else { return };
    let start_us = fleet.now_us;
    fleet.kill(usize::from(owner.0 - 1));
    let time_us = fleet.run_until(60 * SECOND_US, |fleet| {
        fleet.serving_host(database).is_some_and(|(_, present)| present > epoch)
    });
    figures.insert("3a owner killed: database served again, ms", millis(time_us));
    fleet.totals = Totals::default();
    let known_us = fleet.run_until(60 * SECOND_US, |fleet| {
        fleet
            .views()
            .all(|(_, view)| view.owner_of(database).is_some_and(|route| route.epoch > epoch))
    });
    figures.insert("3b owner killed: known everywhere, additional ms", millis(known_us));
    figures.insert("3c owner killed: datagrams until then", fleet.totals.datagrams as f64);
    fleet.run_for(5 * SECOND_US);
    let peak = fleet.store.peak_between(start_us, fleet.now_us);
    figures.insert("3d owner killed: peak store calls per s", peak as f64);
}

fn measure_store_outage(fleet: &mut Fleet, figures: &mut Figures) {
    fleet.store.down = true;
    let start_us = fleet.now_us;
    fleet.run_for(30 * SECOND_US);
    let calls = fleet.store.calls_between(start_us + 15 * SECOND_US, fleet.now_us);
    let rate = (calls.reads + calls.writes) as f64 / 15.0;
    figures.insert("4a store down: calls per s after 15 s", rate);
    fleet.store.down = false;
    let start_us = fleet.now_us;
    fleet.run_for(12 * SECOND_US);
    let peak = fleet.store.peak_between(start_us, fleet.now_us);
    figures.insert("4b store back: peak calls per s", peak as f64);
}

fn measure_hosts_killed(
    fleet: &mut Fleet,
    figures: &mut Figures,
    name: &'static str,
    after_name: &'static str,
    hosts: &[usize],
) {
    hosts.iter().for_each(|&host| fleet.kill(host));
    let start_us = fleet.now_us;
    fleet.run_for(5 * SECOND_US);
    figures.insert(after_name, fleet.served_count() as f64);
    fleet.run_until(60 * SECOND_US, |fleet| fleet.served_count() == DATABASES);
    let is_served = fleet.served_count() == DATABASES;
    figures.insert(name, millis(is_served.then_some(fleet.now_us - start_us)));
    fleet.run_for(5 * SECOND_US);
}
