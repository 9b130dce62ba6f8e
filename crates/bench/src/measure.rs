//! Measurements.

mod idle;
mod latency;
mod path;
mod throughput;

use hdrhistogram::Histogram;

pub(crate) use idle::idle;
pub(crate) use latency::latency;
pub(crate) use path::{Path, PathKind, paths};
pub(crate) use throughput::throughput;

/// Longest latency that a histogram tells apart: a minute.
const MAX_NS: u64 = 60_000_000_000;

/// A histogram of latencies with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_NS, 3).expect("the bounds are valid")
}
