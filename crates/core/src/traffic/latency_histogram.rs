//! Latency histogram.

/// Histogram of latencies whose bucket bounds are powers of two in microseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LatencyHistogram {
    buckets: [u64; Self::BUCKETS],
}

impl LatencyHistogram {
    /// Number of buckets. The last one starts at 2^30 us, about 18 minutes, and has no upper bound.
    const BUCKETS: usize = 32;

    /// Adds one latency.
    pub fn record(&mut self, latency_us: u64) {
        let bucket = (u64::BITS - latency_us.leading_zeros()) as usize;
        self.buckets[bucket.min(Self::BUCKETS - 1)] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in self.buckets.iter_mut().zip(other.buckets) {
            *bucket += count;
        }
    }

    /// Upper bound of the bucket that contains a quantile, given from 0 to 1; `None` if the
    /// histogram is empty.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> Option<u64> {
        let total: u64 = self.buckets.iter().sum();
        if total == 0 {
            return None;
        }
        let rank = (quantile * total as f64).ceil().max(1.0) as u64;
        let mut seen = 0;
        let bucket = self.buckets.iter().position(|count| {
            seen += count;
            seen >= rank
        })?;
        Some(1 << bucket)
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { buckets: [0; Self::BUCKETS] }
    }
}
