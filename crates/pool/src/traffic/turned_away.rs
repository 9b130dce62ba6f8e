//! Share of statements that a congested primary turns away.

/// Recent statements of a set: those that its primary answered, and those refused because it was
/// congested. Both fade by half with each second.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnedAway {
    answered: u32,
    refused: u32,
    fade_us: u64,
}

impl TurnedAway {
    /// Time in which counts fade by half.
    const HALF_US: u64 = 1_000_000;
    /// Refusals that are too few for a conclusion.
    const FEW: u32 = 2;
    /// One refusal in this many statements is a substantial share.
    const SUBSTANTIAL: u32 = 20;

    pub fn note_answered(&mut self) {
        self.answered += 1;
    }

    pub fn note_refused(&mut self) {
        self.refused += 1;
    }

    /// Lets the counts fade.
    pub fn fade(&mut self, now_us: u64) {
        if now_us >= self.fade_us {
            self.answered /= 2;
            self.refused /= 2;
            self.fade_us = now_us + Self::HALF_US;
        }
    }

    /// Whether a substantial share was turned away.
    pub fn is_substantial(&self) -> bool {
        self.refused > Self::FEW && self.refused * Self::SUBSTANTIAL >= self.answered + self.refused
    }
}
