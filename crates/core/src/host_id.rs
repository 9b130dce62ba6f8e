//! Identity of proxy hosts.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Number of a proxy host, unique in the fleet and given in the host's settings.
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
