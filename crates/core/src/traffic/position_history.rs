//! Ages of log positions.

use std::collections::VecDeque;

use crate::Position;

/// Positions of the primary at known times, from which the age of a replica's data follows.
///
/// Only samples of confirmed probe rounds belong here: the position of a superseded primary says
/// nothing about the age of a replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionHistory {
    samples: VecDeque<(u64, Position)>,
}

impl PositionHistory {
    /// Samples closer together than this are merged, which bounds the memory.
    const SPACING_US: u64 = 5_000;
    /// Number of samples kept, 60 s at the closest spacing.
    const CAPACITY: usize = 12_000;

    /// Records that the primary had not passed a position at a time.
    pub(crate) fn record(&mut self, at_us: u64, position: Position) {
        if let Some(&(last_us, last_position)) = self.samples.back() {
            if at_us <= last_us {
                return;
            }
            if last_position == position {
                // While nothing is written the newest sample moves on: the data are as new as that.
                self.samples.pop_back();
            } else if at_us < last_us + Self::SPACING_US {
                return;
            }
        }
        if self.samples.len() == Self::CAPACITY {
            self.samples.pop_front();
        }
        self.samples.push_back((at_us, position));
    }

    /// Time up to which a replica at a position has everything, `None` if it is older than all
    /// samples.
    pub(crate) fn current_until_us(&self, position: Position) -> Option<u64> {
        let newer = self.samples.partition_point(|&(_, sample)| sample <= position);
        let index = newer.checked_sub(1)?;
        Some(self.samples[index].0)
    }

    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
