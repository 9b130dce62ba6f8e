//! History of the primary's log position, used to determine the age of a replica's data.

use std::collections::VecDeque;

use crate::Position;

/// Positions of the primary at known times, which determine the age of a replica's data.
///
/// Only positions from confirmed probe rounds are recorded, because the position of a superseded
/// primary does not determine the age of a replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionHistory {
    samples: VecDeque<(u64, Position)>,
}

impl PositionHistory {
    /// Minimum interval between samples of different positions, which bounds memory. Closer ones
    /// are skipped.
    const SPACING_US: u64 = 5_000;
    /// Maximum number of samples; they cover 60 s at the minimum interval.
    const CAPACITY: usize = 12_000;

    /// Records that the primary's log did not extend past `position` at `at_us`.
    pub(crate) fn record(&mut self, at_us: u64, position: Position) {
        if let Some(&(last_us, last_position)) = self.samples.back() {
            if at_us <= last_us {
                return;
            }
            if last_position == position {
                // The position is unchanged, so a replica that has it is current as of the new
                // time.
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

    /// Latest time as of which a replica at `position` is known to be current; `None` if the
    /// position is older than all samples.
    pub(crate) fn current_until_us(&self, position: Position) -> Option<u64> {
        let newer = self.samples.partition_point(|&(_, sample)| sample <= position);
        let index = newer.checked_sub(1)?;
        Some(self.samples[index].0)
    }

    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
