//! CPU time and medians.

use rustix::time::{ClockId, clock_gettime};

/// Number of repetitions of each measurement.
pub const RUNS: usize = 5;

/// Returns the CPU time that this thread has used, in microseconds.
pub fn cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Returns the CPU time that `work` takes on this thread, in microseconds.
pub fn timed(work: impl FnOnce()) -> f64 {
    let start_us = cpu_us();
    work();
    cpu_us() - start_us
}

/// Returns the median, or NaN without values. Of an even number of values it is the upper middle one.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Runs a measurement `RUNS` times and returns the values in ascending order.
pub fn repeat(mut measurement: impl FnMut() -> f64) -> Vec<f64> {
    let mut values: Vec<f64> = (0..RUNS).map(|_| measurement()).collect();
    values.sort_by(f64::total_cmp);
    values
}
