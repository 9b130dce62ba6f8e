//! Request counts over a sliding window.

use serde::{Deserialize, Serialize};

use super::OutcomeCounts;

/// Request counts by outcome over a sliding window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Counts of the requests that ended within the window.
    #[serde(flatten)]
    pub counts: OutcomeCounts,
}
