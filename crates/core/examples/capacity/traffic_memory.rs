//! Memory of the traffic state machine.

use flamingorock_core::{ArenaKey, RequestKey};

use crate::allocator::live_bytes;
use crate::fixture::{configuration, view};
use crate::meter::repeat;
use crate::report::{heading, line};
use crate::traffic_bench::{HOST, Load, OTHER_HOST, TrafficBench};

/// Number of measured rows. It is a power of two, so that the arenas, which grow by doubling, have no
/// spare capacity. With other numbers a table takes up to twice the measured memory per row.
const ROWS: usize = 4_096;

pub fn run() {
    heading("Traffic: memory (payloads not included; tables grow by doubling)");
    line("idle caller", "bytes", &repeat(|| caller_bytes(ROWS)));
    line("idle caller, table of 4,800", "bytes", &repeat(|| caller_bytes(4_800)));
    line("minimum position of a session, additional", "bytes", &repeat(min_position_bytes));
    line("request in flight, entry side", "bytes", &repeat(entry_request_bytes));
    line("request in flight, owner side", "bytes", &repeat(owner_request_bytes));
    line("served database without connections", "bytes", &repeat(served_database_bytes));
    line("connection to an instance", "bytes", &repeat(connection_bytes));
}

fn caller_bytes(count: usize) -> f64 {
    let mut bench = TrafficBench::new(view(configuration(1, 1, 5), HOST, 1));
    let before = live_bytes();
    let keys = bench.open_callers(count);
    let own_bytes = keys.capacity() * size_of_val(&keys[0]);
    (live_bytes() - before - own_bytes as f64) / count as f64
}

fn min_position_bytes() -> f64 {
    let mut bench = TrafficBench::new(view(configuration(1, 1, 5), OTHER_HOST, 0));
    let callers = bench.open_callers(ROWS);
    let before = live_bytes();
    for caller in callers {
        bench.request(caller, Load::FreshRead);
    }
    (live_bytes() - before) / ROWS as f64
}

fn entry_request_bytes() -> f64 {
    let mut bench = TrafficBench::new(view(configuration(1, 1, 5), OTHER_HOST, 0));
    let callers = bench.open_callers(ROWS);
    bench.holds = true;
    let before = live_bytes();
    for &caller in &callers {
        bench.request(caller, Load::Write);
    }
    let events_bytes = bench.held_bytes();
    (live_bytes() - before - events_bytes as f64) / ROWS as f64
}

fn owner_request_bytes() -> f64 {
    let mut bench = TrafficBench::new(view(configuration(1, 1, 5), HOST, 1));
    bench.holds = true;
    let before = live_bytes();
    for index in 0..ROWS as u32 {
        bench.forwarded(RequestKey::from_parts(index, 0), Load::Write);
    }
    let events_bytes = bench.held_bytes();
    (live_bytes() - before - events_bytes as f64) / ROWS as f64
}

fn served_database_bytes() -> f64 {
    let (few, many) =
        (view(configuration(1, 1, 0), HOST, 1), view(configuration(1, 257, 0), HOST, 257));
    let start = live_bytes();
    let bench = TrafficBench::new(few);
    let with_one = live_bytes() - start;
    let start = live_bytes();
    let other = TrafficBench::new(many);
    let with_many = live_bytes() - start;
    drop((bench, other));
    (with_many - with_one) / 256.0
}

fn connection_bytes() -> f64 {
    let (few, many) =
        (view(configuration(1, 1, 1), HOST, 1), view(configuration(1, 1, 1_024), HOST, 1));
    let start = live_bytes();
    let bench = TrafficBench::new(few);
    let with_few = live_bytes() - start;
    let start = live_bytes();
    let other = TrafficBench::new(many);
    let with_many = live_bytes() - start;
    drop((bench, other));
    (with_many - with_few) / (3.0 * 1_023.0)
}
