//! Monotonic clock of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock in microseconds that all threads share, so that their times can be compared. It
/// includes the time during which the host is suspended, because permits expire then too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_us: u64,
}

impl Clock {
    /// Creates a clock that starts at one second, so that subtracting a short interval from a time
    /// does not underflow.
    #[must_use]
    pub fn start() -> Self {
        Self { origin_us: boot_time_us() }
    }

    /// Current time.
    #[must_use]
    pub fn now_us(self) -> u64 {
        const START_US: u64 = 1_000_000;
        START_US + boot_time_us().saturating_sub(self.origin_us)
    }

    /// Time left until a deadline, for use as a timeout; zero if the deadline has passed.
    #[must_use]
    pub fn until(self, deadline_us: u64) -> Duration {
        Duration::from_micros(deadline_us.saturating_sub(self.now_us()))
    }
}

fn boot_time_us() -> u64 {
    const NANOSECONDS_PER_MICROSECOND: u64 = 1_000;
    const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * MICROSECONDS_PER_SECOND
        + time.tv_nsec.unsigned_abs() / NANOSECONDS_PER_MICROSECOND
}
