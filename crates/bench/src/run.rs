//! Order of the measurements.

use std::time::Duration;

use crate::arguments::Arguments;
use crate::bench_error::BenchError;
use crate::fleet::Fleet;
use crate::interrupt;
use crate::measure::{idle, latency, paths, throughput};
use crate::report::{LatencyRow, Report, ThroughputRow};
use crate::statement::Statement;

/// Runs all measurements.
///
/// # Errors
///
/// A process cannot be started, a connection fails, or a signal interrupts the run.
pub fn run(arguments: &Arguments) -> Result<Report, BenchError> {
    interrupt::install().map_err(BenchError::io("handle signals"))?;
    // The idle measurements come first, with proxies of their own: memory that a load has used is
    // not given back.
    let idle = idle(&Fleet::start(arguments)?, arguments)?;
    let fleet = Fleet::start(arguments)?;
    Ok(Report {
        commit: arguments.commit.clone(),
        durability: arguments.durability.clone(),
        latency: latencies(&fleet, arguments)?,
        throughput: throughputs(&fleet, arguments)?,
        idle,
    })
}

fn latencies(fleet: &Fleet, arguments: &Arguments) -> Result<Vec<LatencyRow>, BenchError> {
    let paths = paths(fleet)?;
    let mut rows = Vec::new();
    for statement in Statement::ALL {
        rows.extend(latency(&paths, statement, arguments.statements)?);
    }
    Ok(rows)
}

fn throughputs(fleet: &Fleet, arguments: &Arguments) -> Result<Vec<ThroughputRow>, BenchError> {
    let length = Duration::from_millis(arguments.load_ms);
    let mut rows = Vec::new();
    for statement in [Statement::Select, Statement::Insert] {
        for path in paths(fleet)? {
            for &callers in &arguments.callers {
                rows.extend(throughput(fleet, &path, statement, callers, length)?);
            }
        }
    }
    Ok(rows)
}
