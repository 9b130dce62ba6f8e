//! Request counts by outcome.

use serde::{Deserialize, Serialize};

/// Number of requests for each outcome.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// Answered within the target latency.
    pub good: u64,
    /// Answered after the target latency.
    pub slow: u64,
    /// Accepted, but with an unknown outcome.
    pub unknown: u64,
    /// Refused before running.
    pub refused: u64,
    /// Failed and rolled back.
    pub rolled_back: u64,
}

impl OutcomeCounts {
    /// Adds the counts of `other`, saturating at the maximum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            slow: self.slow.saturating_add(other.slow),
            unknown: self.unknown.saturating_add(other.unknown),
            refused: self.refused.saturating_add(other.refused),
            rolled_back: self.rolled_back.saturating_add(other.rolled_back),
        }
    }

    /// Number of bad events: late replies and unknown outcomes.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.slow.saturating_add(self.unknown)
    }

    /// Fraction of events that are bad, from 0 to 1; 0 if there are no events.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a fraction needs no exact counts")]
    pub fn bad_fraction(&self) -> f64 {
        let events = self.good.saturating_add(self.bad());
        if events == 0 { 0.0 } else { self.bad() as f64 / events as f64 }
    }

    /// Error budget burn rate for a target given in percent. At 1 the budget is spent exactly by
    /// the end of its period; 0 if there are no events.
    #[must_use]
    pub fn burn_rate(&self, target_percent: f64) -> f64 {
        self.bad_fraction() / (1.0 - target_percent / 100.0)
    }
}
