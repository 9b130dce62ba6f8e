//! Log sequence numbers.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Log sequence number: the count of log entries up to and including the entry meant.
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
pub struct Lsn(pub u64);
