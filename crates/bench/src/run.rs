//! Sequence of the measurements.

use std::time::Duration;

use crate::arguments::Arguments;
use crate::bench_error::BenchError;
use crate::fleet::Fleet;
use crate::interrupt;
use crate::measure::{idle, latency, paths, throughput};
use crate::report::{LatencyRow, Report, ThroughputRow};
use crate::statement::Statement;

/// Runs all measurements and returns their results.
///
/// # Errors
///
/// A process cannot be started, a connection fails, or a signal interrupts the run.
pub fn run(arguments: &Arguments) -> Result<Report, BenchError> {
    interrupt::install_handlers().map_err(BenchError::io("install the signal handlers"))?;
    // The idle measurements come first and on proxies of their own, because a process does not give
    // back the memory that a load has used.
    let idle = idle(&Fleet::start(arguments)?, arguments)?;
    let fleet = Fleet::start(arguments)?;
    Ok(Report {
        commit: arguments.commit.clone(),
        durability: arguments.durability.clone(),
        latency: measure_latency(&fleet, arguments)?,
        throughput: measure_throughput(&fleet, arguments)?,
        idle,
    })
}

fn measure_latency(fleet: &Fleet, arguments: &Arguments) -> Result<Vec<LatencyRow>, BenchError> {
    let paths = paths(fleet)?;
    let mut rows = Vec::new();
    for statement in Statement::ALL {
        rows.extend(latency(&paths, statement, arguments.statements)?);
    }
    Ok(rows)
}

fn measure_throughput(
    fleet: &Fleet,
    arguments: &Arguments,
) -> Result<Vec<ThroughputRow>, BenchError> {
    let duration = Duration::from_millis(arguments.load_ms);
    let mut rows = Vec::new();
    for statement in [Statement::Select, Statement::Insert] {
        for path in paths(fleet)? {
            for &callers in &arguments.callers {
                rows.extend(throughput(fleet, &path, statement, callers, duration)?);
            }
        }
    }
    Ok(rows)
}
