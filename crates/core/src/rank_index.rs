//! Rank indices.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Index of a rank in its service's list of ranks; 0 is the most urgent.
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
pub struct RankIndex(pub u8);
