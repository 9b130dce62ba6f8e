//! Processor time of a statement.

use flamingorock_core::{ArenaKey, CallerKey, RequestKey};

use crate::fixture::{configuration, view};
use crate::meter::{repeat, timed};
use crate::report::{heading, line};
use crate::traffic_bench::{HOST, Load, OTHER, TrafficBench};

const STATEMENTS: usize = 10_000;
const LOADS: [(Load, &str); 3] =
    [(Load::Write, "write"), (Load::FreshRead, "fresh read"), (Load::StaleRead, "stale read")];

/// Which sides of the path run in the machine.
#[derive(Clone, Copy)]
enum Side {
    Entry,
    Owner,
    Both,
}

pub fn run() {
    heading("Traffic: processor time of a statement, one event a tick");
    for (side, side_name) in [(Side::Entry, "entry"), (Side::Owner, "owner"), (Side::Both, "both")]
    {
        for (load, load_name) in LOADS {
            for waiting in [1, 1_000] {
                let values = repeat(|| measure(side, load, waiting, 1));
                line(&format!("{side_name}, {load_name}, {waiting} waiting"), "us", &values);
            }
        }
    }
    heading("Traffic: the same by number of databases that the thread serves");
    for served in [1, 2, 16, 156] {
        let values = repeat(|| measure(Side::Owner, Load::Write, 1, served));
        line(&format!("owner, write, 1 waiting, {served} served databases"), "us", &values);
    }
    heading("Traffic: first read of a new session, both sides");
    for waiting in [1, 100, 1_000] {
        let values = repeat(|| measure_new_sessions(waiting));
        line(&format!("both, stale read without token, {waiting} waiting"), "us", &values);
    }
}

fn bench(side: Side, served: usize) -> TrafficBench {
    let (owner, served) = match side {
        Side::Entry => (OTHER, 0),
        Side::Owner | Side::Both => (HOST, served),
    };
    TrafficBench::new(view(configuration(1, served.max(1), 5), owner, served))
}

/// Processor time per statement, with that many in flight at a time.
fn measure(side: Side, load: Load, waiting: usize, served: usize) -> f64 {
    let mut bench = bench(side, served);
    let callers = bench.open_callers(waiting);
    let statements = if served > 16 { STATEMENTS / 10 } else { STATEMENTS };
    // Statements without measurement give every session its token.
    run_round(&mut bench, side, load, &callers);
    let rounds = statements / waiting;
    bench.finished = 0;
    let cpu_us = timed(|| {
        for _ in 0..rounds {
            run_round(&mut bench, side, load, &callers);
        }
    });
    assert_eq!(bench.finished, rounds * waiting, "every statement is answered");
    cpu_us / (rounds * waiting) as f64
}

fn run_round(bench: &mut TrafficBench, side: Side, load: Load, callers: &[CallerKey]) {
    bench.holds = true;
    for (index, &caller) in callers.iter().enumerate() {
        match side {
            Side::Entry | Side::Both => bench.request(caller, load),
            Side::Owner => bench.forwarded(RequestKey::from_parts(index as u32, 0), load),
        }
    }
    bench.release();
}

fn measure_new_sessions(waiting: usize) -> f64 {
    let mut bench = bench(Side::Both, 1);
    let callers = bench.open_callers(waiting);
    let cpu_us = timed(|| run_round(&mut bench, Side::Both, Load::StaleRead, &callers));
    assert_eq!(bench.finished, waiting, "every statement is answered");
    cpu_us / waiting as f64
}
