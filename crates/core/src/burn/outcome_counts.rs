//! Counts of outcomes.

use serde::{Deserialize, Serialize};

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// Answered within the target latency.
    pub good: u64,
    /// Answered after the target latency.
    pub slow: u64,
    /// Accepted, with unknown outcome.
    pub unknown: u64,
    /// Refused, not run.
    pub refused: u64,
    /// Failed and rolled back by the database.
    pub rolled_back: u64,
}

impl OutcomeCounts {
    /// The sums of both.
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

    /// Bad events.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.slow.saturating_add(self.unknown)
    }

    /// Share of bad events among good and bad ones; 0 if there were none.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a share needs no exact counts")]
    pub fn bad_fraction(&self) -> f64 {
        let events = self.good.saturating_add(self.bad());
        if events == 0 { 0.0 } else { self.bad() as f64 / events as f64 }
    }

    /// How fast the error budget of a target is spent: 1 spends it exactly. 0 if there were no
    /// events.
    #[must_use]
    pub fn burn_rate(&self, target_percent: f64) -> f64 {
        self.bad_fraction() / (1.0 - target_percent / 100.0)
    }
}
