//! Latency, throughput and idle measurements.

mod idle;
mod latency;
mod path;
mod throughput;

use hdrhistogram::Histogram;

pub(crate) use idle::idle;
pub(crate) use latency::latency;
pub(crate) use path::{Path, PathKind, paths};
pub(crate) use throughput::throughput;

/// Largest latency that a histogram records, one minute; longer ones count as this.
const MAX_LATENCY_NS: u64 = 60_000_000_000;

/// Creates a histogram of latencies in nanoseconds with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3).expect("the bounds are valid")
}
