//! Interruption by a signal.
//!
//! A signal only sets a flag, so that the run unwinds and its processes and files are removed.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};

use crate::BenchError;

/// Interval at which waits look at the flag.
const STEP: Duration = Duration::from_millis(50);

static FLAG: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

/// Sets the flag on SIGINT and SIGTERM.
pub(crate) fn install() -> io::Result<()> {
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&FLAG))?;
    }
    Ok(())
}

/// Fails after a signal.
pub(crate) fn check() -> Result<(), BenchError> {
    if FLAG.load(Ordering::Relaxed) { Err(BenchError::Interrupted) } else { Ok(()) }
}

/// Sleeps, or fails after a signal.
pub(crate) fn sleep(duration: Duration) -> Result<(), BenchError> {
    let end = Instant::now() + duration;
    loop {
        check()?;
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(STEP));
    }
}

/// Waits until a condition gives a value.
pub(crate) fn wait_for<T>(
    what: &'static str,
    limit: Duration,
    mut attempt: impl FnMut() -> Result<T, String>,
) -> Result<T, BenchError> {
    let end = Instant::now() + limit;
    loop {
        check()?;
        match attempt() {
            Ok(value) => return Ok(value),
            Err(last) if Instant::now() > end => {
                return Err(BenchError::TimedOut { what, limit_s: limit.as_secs(), last });
            }
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
}
