//! Interruption by a signal.
//!
//! The signal handler only sets a flag. The run then returns an error, so that the destructors end
//! its processes and remove its files.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};

use crate::BenchError;

/// Interval at which a sleep checks the flag.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether SIGINT or SIGTERM has arrived.
static INTERRUPTED: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

/// Installs the handlers of SIGINT and SIGTERM.
pub(crate) fn install_handlers() -> io::Result<()> {
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&INTERRUPTED))?;
    }
    Ok(())
}

/// Fails if a signal has arrived.
pub(crate) fn check() -> Result<(), BenchError> {
    if INTERRUPTED.load(Ordering::Relaxed) { Err(BenchError::Interrupted) } else { Ok(()) }
}

/// Sleeps, and fails early if a signal arrives.
pub(crate) fn sleep(duration: Duration) -> Result<(), BenchError> {
    let deadline = Instant::now() + duration;
    loop {
        check()?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(());
        }
        thread::sleep(remaining.min(CHECK_INTERVAL));
    }
}

/// Repeats an attempt until it succeeds, the timeout passes or a signal arrives.
pub(crate) fn wait_for<T>(
    awaited: &'static str,
    timeout: Duration,
    mut attempt: impl FnMut() -> Result<T, String>,
) -> Result<T, BenchError> {
    let deadline = Instant::now() + timeout;
    loop {
        check()?;
        match attempt() {
            Ok(value) => return Ok(value),
            Err(last_error) if Instant::now() > deadline => {
                return Err(BenchError::TimedOut {
                    awaited,
                    timeout_s: timeout.as_secs(),
                    last_error,
                });
            }
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
}
