//! Burn rates.

use serde::Serialize;

/// Burn rate over a window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRate {
    /// Length of the window.
    pub window_s: u64,
    /// Burn rate.
    pub burn_rate: f64,
}
