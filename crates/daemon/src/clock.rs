//! Monotonic clock of the process.

use std::time::{Duration, Instant};

/// Monotonic clock that all threads of the process share, so that their times can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts at one second, so that no time that is derived by subtraction of
    /// a short interval is below zero.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Time now.
    #[must_use]
    pub fn now_us(self) -> u64 {
        const START_US: u64 = 1_000_000;
        START_US + u64::try_from(self.origin.elapsed().as_micros()).expect("under 500,000 years")
    }

    /// Time until a deadline, for a blocking call.
    #[must_use]
    pub fn until(self, deadline_us: u64) -> Duration {
        Duration::from_micros(deadline_us.saturating_sub(self.now_us()))
    }
}
