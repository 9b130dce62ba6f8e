//! Measures the service of each rank under overload, on virtual time, and compares floor priority with
//! strict priority and first in, first out.
//!
//! `cargo run --release -p flamingorock-core --example flood`

#[path = "../tests/flood_support/mod.rs"]
mod flood_support;

use flamingorock_core::traffic::{DispatchPolicy, FirstInFirstOut, FloorPriority, StrictPriority};
use flood_support::{Flood, Load};

fn report<P: DispatchPolicy>(policy: &str, title: &str, load: Load) {
    let mut results = Flood::<P>::new(load).run();
    let total: u64 = results.iter().map(|result| result.answered_under_load).sum();
    for (rank, result) in results.iter_mut().enumerate() {
        let (p50_ms, p99_ms) = (result.quantile_ms(0.5), result.quantile_ms(0.99));
        println!(
            "{title:<28} {policy:<16} rank {rank}: offered {:>6} answered {:>6} ({:>5.1} % of all \
             replies under load) within target {:>6} refused {:>6} unknown {:>4} p50 {p50_ms:>7.1} ms \
             p99 {p99_ms:>7.1} ms",
            result.offered,
            result.answered,
            100.0 * result.answered_under_load as f64 / total.max(1) as f64,
            result.good,
            result.refused,
            result.other,
        );
    }
}

fn main() {
    for (user, slots) in [("Jardinet", 2), ("Kooperatifi", 5)] {
        for (name, flooding) in [("lowest", Some(2)), ("urgent", Some(0))] {
            for times in [1, 3, 10] {
                let load = Load::flood(slots, times, flooding);
                let title = format!("{user} {times}x {name}");
                report::<FloorPriority>("floor priority", &title, load);
                report::<StrictPriority>("strict priority", &title, load);
                report::<FirstInFirstOut>("first in first out", &title, load);
            }
        }
    }
}
