//! Memory of the control machine.

use std::sync::Arc;

use flamingorock_config::services_text;

use crate::allocator::live_bytes;
use crate::fixture::configuration;
use crate::meter::repeat;
use crate::node_bench::NodeBench;
use crate::report::{heading, line};

pub fn run() {
    heading("Control: memory");
    line("peer", "bytes", &repeat(|| (machine(500, 3) - machine(100, 3)) / 400.0));
    line("database known", "bytes", &repeat(|| (known(780) - known(390)) / 390.0));
    line("database owned, on top", "bytes", &repeat(owned));
    for databases in [30, 300, 780, 3_000] {
        let size_bytes = services_text(&configuration(1, databases, 5)).len();
        let name = format!("configuration, {databases} databases, document {size_bytes} bytes");
        line(&name, "bytes", &repeat(|| document(databases)));
    }
    line("whole machine, 500 hosts, 780 databases", "bytes", &repeat(|| machine(500, 780)));
}

/// Memory of a machine without its configuration and document.
fn machine(hosts: u16, databases: usize) -> f64 {
    let configuration = Arc::new(configuration(1, databases, 5));
    let text = services_text(&configuration);
    let start = live_bytes();
    let bench = NodeBench::new(hosts, configuration, &text);
    // The fake store and the machine each hold a copy of the document.
    let bytes = live_bytes() - start - 2.0 * text.len() as f64;
    drop(bench);
    bytes
}

fn known(databases: usize) -> f64 {
    machine(500, databases)
}

/// Memory of an owned database: a share of 39 of 780 against one of 2, in fleets of 20 and 390 hosts.
fn owned() -> f64 {
    let grown = |hosts: u16| {
        let configuration = Arc::new(configuration(1, 780, 5));
        let text = services_text(&configuration);
        let mut bench = NodeBench::new(hosts, configuration, &text);
        bench.run_for(3_000_000);
        let before = live_bytes();
        bench.samples.clear();
        bench.run_for(60_000_000);
        bench.samples.clear();
        let count = bench.open_count() as f64;
        (live_bytes() - before, count)
    };
    let ((few_bytes, few), (many_bytes, many)) = (grown(390), grown(20));
    (many_bytes - few_bytes) / (many - few)
}

/// Parsed configuration and document together.
fn document(databases: usize) -> f64 {
    let start = live_bytes();
    let configuration = configuration(1, databases, 5);
    let text = services_text(&configuration);
    let bytes = live_bytes() - start;
    drop((configuration, text));
    bytes
}
