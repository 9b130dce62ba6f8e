//! Latencies.

use serde::{Deserialize, Serialize};

/// Quantiles of latencies in milliseconds; 0 if there was no request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl LatencySummary {
    /// The greater of each quantile. Quantiles of several proxies have no exact common value.
    #[must_use]
    pub fn worst(self, other: Self) -> Self {
        Self { p50: self.p50.max(other.p50), p99: self.p99.max(other.p99) }
    }
}
