//! Host identifiers.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Number of a proxy host. It is set in the host's settings and unique in the fleet.
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
pub struct HostId(pub u16);
