//! Terms, which order successive primaries.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Low bits of a term that count the promotions within one epoch.
const COUNTER_BITS: u32 = 16;

/// Term of a primary. The high part is the owner's epoch and the low part a counter. An owner can
/// therefore promote repeatedly without the key-value service, and the terms of every later owner
/// are higher.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Term(pub u64);

impl Term {
    /// Lowest term of an epoch, with the counter at 0.
    #[must_use]
    pub fn first_of_epoch(epoch: u32) -> Self {
        Self(u64::from(epoch) << COUNTER_BITS)
    }

    /// Epoch of the owner that assigned the term.
    #[must_use]
    pub fn epoch(self) -> u32 {
        (self.0 >> COUNTER_BITS) as u32
    }

    /// Next term of the same epoch, or `None` if the counter is exhausted and the owner must claim
    /// a new epoch.
    #[must_use]
    pub fn next_in_epoch(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.epoch() == self.epoch()).then_some(next)
    }
}
