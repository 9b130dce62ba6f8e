//! Summary of a latency distribution.

use serde::{Deserialize, Serialize};

/// Latency quantiles in milliseconds; 0 if no request was recorded.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl LatencySummary {
    /// Takes the larger value of each quantile. The quantiles of several proxies cannot be combined
    /// exactly, so the maximum serves as a conservative estimate.
    #[must_use]
    pub fn worst(self, other: Self) -> Self {
        Self { p50: self.p50.max(other.p50), p99: self.p99.max(other.p99) }
    }
}
