//! Counts over a window.

use serde::{Deserialize, Serialize};

use super::OutcomeCounts;

/// Counts over a sliding window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_s: u64,
    /// Counts.
    #[serde(flatten)]
    pub counts: OutcomeCounts,
}
