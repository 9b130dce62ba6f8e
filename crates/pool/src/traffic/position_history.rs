//! Positions of a primary by the time at which they were seen.

use std::collections::VecDeque;

use flamingorock_core::Position;

/// Positions seen at the true primary, with the time before which the question was sent. A position
/// covers every commit that was acknowledged before that time.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    samples: VecDeque<(u64, Position)>,
}

impl PositionHistory {
    /// Closest distance of two samples that are kept.
    const MIN_SPACING_US: u64 = 10_000;
    /// Samples that are kept: several seconds' worth under load.
    const CAPACITY: usize = 512;

    /// Adds a sample.
    pub fn record(&mut self, sent_us: u64, position: Position) {
        if let Some((last_us, last)) = self.samples.back()
            && (position < *last || sent_us < last_us + Self::MIN_SPACING_US)
        {
            return;
        }
        if self.samples.len() == Self::CAPACITY {
            self.samples.pop_front();
        }
        self.samples.push_back((sent_us, position));
    }

    /// Forgets all samples, after a change of term that may have rolled positions back.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Position that a log must have to cover every commit acknowledged before `since_us`.
    #[must_use]
    pub fn covering(&self, read_time_us: u64) -> Option<Position> {
        let index = self.samples.partition_point(|(sent_us, _)| *sent_us < read_time_us);
        self.samples.get(index).map(|(_, position)| *position)
    }

    /// Time up to which a log with this position covers all commits, `None` if that is not known.
    #[must_use]
    pub fn covered_until_us(&self, position: Position) -> Option<u64> {
        let index = self.samples.partition_point(|(_, sampled)| *sampled <= position);
        let (sent_us, _) = self.samples.get(index.checked_sub(1)?)?;
        Some(*sent_us)
    }
}
