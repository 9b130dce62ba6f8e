//! Log sequence numbers.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Log sequence number: the number of log entries up to and including this one.
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
