//! Share of statements that are refused because the primary is congested.

/// Exponentially decaying counts of a replica set's statements: those that succeeded at the primary
/// and those refused because it was congested.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalRate {
    served: u32,
    refused: u32,
    next_decay_us: u64,
}

impl RefusalRate {
    /// Half-life of the counts.
    const HALF_LIFE_US: u64 = 1_000_000;
    /// Number of refusals that is still considered insignificant.
    const NEGLIGIBLE_REFUSALS: u32 = 2;
    /// Refusals are significant from a share of 1/20 of all statements.
    const SIGNIFICANT_SHARE_DIVISOR: u32 = 20;

    pub fn record_success(&mut self) {
        self.served += 1;
    }

    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Halves the counts once per half-life.
    pub fn decay(&mut self, now_us: u64) {
        if now_us >= self.next_decay_us {
            self.served /= 2;
            self.refused /= 2;
            self.next_decay_us = now_us + Self::HALF_LIFE_US;
        }
    }

    /// Whether a significant share of statements is refused.
    pub fn is_significant(&self) -> bool {
        self.refused > Self::NEGLIGIBLE_REFUSALS
            && self.refused * Self::SIGNIFICANT_SHARE_DIVISOR >= self.served + self.refused
    }
}
