//! History of a primary's log positions.

use std::collections::VecDeque;

use flamingorock_core::Position;

/// Log positions of the primary, each with the time at which the command that returned it was sent.
/// Such a position covers every commit acknowledged before that time.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    samples: VecDeque<(u64, Position)>,
}

impl PositionHistory {
    /// Minimum time between two samples; closer ones are dropped.
    const MIN_SPACING_US: u64 = 10_000;
    /// Maximum number of samples: at least 5 s of history at the minimum spacing.
    const CAPACITY: usize = 512;

    /// Adds a position returned by a command sent at `sent_us`.
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

    /// Removes all samples, because a change of term may have rolled positions back.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Position that a log must have reached to cover every commit acknowledged before
    /// `read_time_us`.
    #[must_use]
    pub fn covering(&self, read_time_us: u64) -> Option<Position> {
        let index = self.samples.partition_point(|(sent_us, _)| *sent_us < read_time_us);
        self.samples.get(index).map(|(_, position)| *position)
    }

    /// Time up to which a log at this position covers all commits; `None` if the history does not
    /// reach back far enough.
    #[must_use]
    pub fn covered_until_us(&self, position: Position) -> Option<u64> {
        let index = self.samples.partition_point(|(_, sampled)| *sampled <= position);
        let (sent_us, _) = self.samples.get(index.checked_sub(1)?)?;
        Some(*sent_us)
    }
}
