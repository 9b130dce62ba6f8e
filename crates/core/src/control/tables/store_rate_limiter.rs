//! Rate limit and backoff for calls to the key-value service.

use rand::RngExt;
use rand::rngs::SmallRng;

/// Size of the token bucket: the calls that can be made at once after an idle time.
const BURST_CALLS: f64 = 20.0;
/// Sustained calls per second. The service handles a few thousand reads and several hundred writes
/// per second for the whole fleet.
const CALLS_PER_SECOND: f64 = 5.0;
const INITIAL_BACKOFF_US: u64 = 100_000;
const MAX_BACKOFF_US: u64 = 10_000_000;

/// Token bucket with exponential backoff for one kind of call to the key-value service.
#[derive(Debug)]
pub(crate) struct StoreRateLimiter {
    tokens: f64,
    refilled_at_us: u64,
    failures: u32,
    not_before_us: u64,
}

impl StoreRateLimiter {
    pub(crate) fn new(now_us: u64) -> Self {
        Self { tokens: BURST_CALLS, refilled_at_us: now_us, failures: 0, not_before_us: now_us }
    }

    /// Takes a token, or returns the time at which to try again.
    pub(crate) fn try_acquire(&mut self, now_us: u64) -> Result<(), u64> {
        if now_us < self.not_before_us {
            return Err(self.not_before_us);
        }
        self.refill(now_us);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_us = (1.0 - self.tokens) * 1e6 / CALLS_PER_SECOND;
        Err(now_us + wait_us.ceil() as u64)
    }

    /// Adds the tokens earned since the last refill. At most one accumulates while the service
    /// fails, so that it does not get a burst of calls from every host when it recovers.
    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        self.refilled_at_us = now_us;
        let limit = if self.is_failing() { 1.0 } else { BURST_CALLS };
        self.tokens = (self.tokens + elapsed_us as f64 * CALLS_PER_SECOND / 1e6).min(limit);
    }

    /// Records a failed call and delays the next one by a random time between half the backoff and
    /// the whole of it.
    pub(crate) fn record_failure(&mut self, now_us: u64, rng: &mut SmallRng) {
        let max_backoff_us = (INITIAL_BACKOFF_US << self.failures.min(7)).min(MAX_BACKOFF_US);
        self.failures += 1;
        self.not_before_us = now_us + rng.random_range(max_backoff_us / 2..=max_backoff_us);
    }

    pub(crate) fn record_success(&mut self, now_us: u64) {
        self.refill(now_us);
        self.failures = 0;
    }

    /// Whether the last call failed. Callers then make one call at a time.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
