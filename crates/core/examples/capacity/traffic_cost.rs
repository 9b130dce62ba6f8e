//! CPU time of a statement.

use flamingorock_core::{ArenaKey, CallerKey, RequestKey};

use crate::fixture::{configuration, view};
use crate::meter::{repeat, timed};
use crate::report::{heading, line};
use crate::traffic_bench::{HOST, Load, OTHER_HOST, TrafficBench};

const STATEMENTS: usize = 10_000;
const LOADS: [(Load, &str); 3] =
    [(Load::Write, "write"), (Load::FreshRead, "fresh read"), (Load::StaleRead, "stale read")];

/// The sides of a request's path that run in the measured state machine.
#[derive(Clone, Copy)]
enum MeasuredSide {
    Entry,
    Owner,
    Both,
}

pub fn run() {
    heading("Traffic: CPU time of a statement, one event per tick");
    for (side, side_name) in [
        (MeasuredSide::Entry, "entry"),
        (MeasuredSide::Owner, "owner"),
        (MeasuredSide::Both, "both"),
    ] {
        for (load, load_name) in LOADS {
            for in_flight in [1, 1_000] {
                let values = repeat(|| measure(side, load, in_flight, 1));
                line(&format!("{side_name}, {load_name}, {in_flight} in flight"), "us", &values);
            }
        }
    }
    heading("Traffic: the same by number of served databases");
    for served in [1, 2, 16, 156] {
        let values = repeat(|| measure(MeasuredSide::Owner, Load::Write, 1, served));
        line(&format!("owner, write, 1 in flight, {served} served databases"), "us", &values);
    }
    heading("Traffic: first read of a new session, both sides");
    for in_flight in [1, 100, 1_000] {
        let values = repeat(|| measure_new_sessions(in_flight));
        line(
            &format!("both, stale read without minimum position, {in_flight} in flight"),
            "us",
            &values,
        );
    }
}

fn bench(side: MeasuredSide, served: usize) -> TrafficBench {
    let (owner, served) = match side {
        MeasuredSide::Entry => (OTHER_HOST, 0),
        MeasuredSide::Owner | MeasuredSide::Both => (HOST, served),
    };
    TrafficBench::new(view(configuration(1, served.max(1), 5), owner, served))
}

/// Returns the CPU time per statement with `in_flight` statements at a time.
fn measure(side: MeasuredSide, load: Load, in_flight: usize, served: usize) -> f64 {
    let mut bench = bench(side, served);
    let callers = bench.open_callers(in_flight);
    let statements = if served > 16 { STATEMENTS / 10 } else { STATEMENTS };
    // A first round, which is not measured, gives every session its minimum position.
    run_round(&mut bench, side, load, &callers);
    let rounds = statements / in_flight;
    bench.finished = 0;
    let cpu_us = timed(|| {
        for _ in 0..rounds {
            run_round(&mut bench, side, load, &callers);
        }
    });
    assert_eq!(bench.finished, rounds * in_flight, "all statements complete");
    cpu_us / (rounds * in_flight) as f64
}

fn run_round(bench: &mut TrafficBench, side: MeasuredSide, load: Load, callers: &[CallerKey]) {
    bench.holds = true;
    for (index, &caller) in callers.iter().enumerate() {
        match side {
            MeasuredSide::Entry | MeasuredSide::Both => bench.request(caller, load),
            MeasuredSide::Owner => bench.forwarded(RequestKey::from_parts(index as u32, 0), load),
        }
    }
    bench.release();
}

fn measure_new_sessions(in_flight: usize) -> f64 {
    let mut bench = bench(MeasuredSide::Both, 1);
    let callers = bench.open_callers(in_flight);
    let cpu_us = timed(|| run_round(&mut bench, MeasuredSide::Both, Load::StaleRead, &callers));
    assert_eq!(bench.finished, in_flight, "all statements complete");
    cpu_us / in_flight as f64
}
