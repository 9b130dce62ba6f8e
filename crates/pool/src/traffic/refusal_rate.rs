//! Share of statements that a congested primary turns away.

/// Recent statements of a set: those that its primary answered, and those refused because it was
/// congested. Both fade by half with each second.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalRate {
    served: u32,
    refused: u32,
    next_decay_us: u64,
}

impl RefusalRate {
    /// Time in which counts fade by half.
    const HALF_LIFE_US: u64 = 1_000_000;
    /// Refusals that are too few for a conclusion.
    const NEGLIGIBLE_REFUSALS: u32 = 2;
    /// One refusal in this many statements is a substantial share.
    const SIGNIFICANT_SHARE_DIVISOR: u32 = 20;

    pub fn record_success(&mut self) {
        self.served += 1;
    }

    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Lets the counts fade.
    pub fn decay(&mut self, now_us: u64) {
        if now_us >= self.next_decay_us {
            self.served /= 2;
            self.refused /= 2;
            self.next_decay_us = now_us + Self::HALF_LIFE_US;
        }
    }

    /// Whether a substantial share was turned away.
    pub fn is_significant(&self) -> bool {
        self.refused > Self::NEGLIGIBLE_REFUSALS
            && self.refused * Self::SIGNIFICANT_SHARE_DIVISOR >= self.served + self.refused
    }
}
