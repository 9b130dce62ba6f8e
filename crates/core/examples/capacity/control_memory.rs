//! Memory of the control state machine.

use std::sync::Arc;

use flamingorock_config::services_text;

use crate::allocator::live_bytes;
use crate::fixture::configuration;
use crate::meter::repeat;
use crate::node_bench::NodeBench;
use crate::report::{heading, line};

pub fn run() {
    heading("Control: memory");
    line(
        "peer",
        "bytes",
        &repeat(|| (state_machine_bytes(500, 3) - state_machine_bytes(100, 3)) / 400.0),
    );
    line(
        "database known",
        "bytes",
        &repeat(|| (known_databases_bytes(780) - known_databases_bytes(390)) / 390.0),
    );
    line("database owned, additional", "bytes", &repeat(owned_database_bytes));
    for databases in [30, 300, 780, 3_000] {
        let size_bytes = services_text(&configuration(1, databases, 5)).len();
        let name = format!("configuration, {databases} databases, document {size_bytes} bytes");
        line(&name, "bytes", &repeat(|| configuration_bytes(databases)));
    }
    line(
        "whole state machine, 500 hosts, 780 databases",
        "bytes",
        &repeat(|| state_machine_bytes(500, 780)),
    );
}

/// Memory of a control state machine without its parsed configuration and its document.
fn state_machine_bytes(hosts: u16, databases: usize) -> f64 {
    let configuration = Arc::new(configuration(1, databases, 5));
    let text = services_text(&configuration);
    let start = live_bytes();
    let bench = NodeBench::new(hosts, configuration, &text);
    // The fake store and the state machine each hold a copy of the document.
    let bytes = live_bytes() - start - 2.0 * text.len() as f64;
    drop(bench);
    bytes
}

fn known_databases_bytes(databases: usize) -> f64 {
    state_machine_bytes(500, databases)
}

/// Additional memory per owned database, from two hosts that know the same 780 databases: one of a fleet
/// of 20 hosts owns 39 of them, one of a fleet of 390 hosts owns 2.
fn owned_database_bytes() -> f64 {
    let growth = |hosts: u16| {
        let configuration = Arc::new(configuration(1, 780, 5));
        let text = services_text(&configuration);
        let mut bench = NodeBench::new(hosts, configuration, &text);
        bench.run_for(3_000_000);
        let before = live_bytes();
        bench.samples.clear();
        bench.run_for(60_000_000);
        bench.samples.clear();
        let count = bench.served_count() as f64;
        (live_bytes() - before, count)
    };
    let ((few_bytes, few), (many_bytes, many)) = (growth(390), growth(20));
    (many_bytes - few_bytes) / (many - few)
}

/// Memory of a parsed configuration and its document together.
fn configuration_bytes(databases: usize) -> f64 {
    let start = live_bytes();
    let configuration = configuration(1, databases, 5);
    let text = services_text(&configuration);
    let bytes = live_bytes() - start;
    drop((configuration, text));
    bytes
}
