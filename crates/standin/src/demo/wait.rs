//! Waits for states.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};

use super::DemoError;

/// Pause between two looks at a state.
const PAUSE: Duration = Duration::from_millis(5);

/// Limit of each wait. A signal ends all of them, so that the job cleans up.
pub(super) struct Wait {
    limit: Duration,
    interrupted: Arc<AtomicBool>,
}

impl Wait {
    pub(super) fn new(limit: Duration) -> Result<Self, DemoError> {
        let interrupted = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&interrupted))
                .map_err(DemoError::io("signals cannot be handled"))?;
        }
        Ok(Self { limit, interrupted })
    }

    /// Repeats an attempt until it gives a value. `Err` says what was seen instead.
    pub(super) fn until<T>(
        &self,
        what: &str,
        mut attempt: impl FnMut() -> Result<T, String>,
    ) -> Result<T, DemoError> {
        let deadline = Instant::now() + self.limit;
        loop {
            if self.interrupted.load(Ordering::Relaxed) {
                return Err(DemoError::Interrupted);
            }
            match attempt() {
                Ok(value) => return Ok(value),
                Err(seen) if Instant::now() > deadline => {
                    return Err(DemoError::TooLate { what: what.to_owned(), seen });
                }
                Err(_) => thread::sleep(PAUSE),
            }
        }
    }
}
