//! Terms of primaries.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Bits of a term that count promotions by the same owner.
const COUNTER_BITS: u32 = 16;

/// Term of a primary. The owner's epoch is the high part and a counter the low part, so that an owner
/// can promote again without the key-value service while every later owner outranks it.
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
    /// First term of an owner's epoch.
    #[must_use]
    pub fn first_of_epoch(epoch: u32) -> Self {
        Self(u64::from(epoch) << COUNTER_BITS)
    }

    /// Epoch of the owner that the term belongs to.
    #[must_use]
    pub fn epoch(self) -> u32 {
        (self.0 >> COUNTER_BITS) as u32
    }

    /// Next term of the same epoch, or `None` when the counter is used up and a new claim is needed.
    #[must_use]
    pub fn next_in_epoch(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.epoch() == self.epoch()).then_some(next)
    }
}
