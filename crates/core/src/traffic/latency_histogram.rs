//! Counts of latencies.

/// Counts of latencies in buckets whose upper bounds are powers of two of a microsecond.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LatencyHistogram {
    buckets: [u64; Self::BUCKETS],
}

impl LatencyHistogram {
    /// Number of buckets; the last one starts at 2^30 us, about 18 minutes.
    const BUCKETS: usize = 32;

    /// Counts one latency.
    pub fn record(&mut self, latency_us: u64) {
        let bucket = (u64::BITS - latency_us.leading_zeros()) as usize;
        self.buckets[bucket.min(Self::BUCKETS - 1)] += 1;
    }

    /// Adds the counts of another table.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in self.buckets.iter_mut().zip(other.buckets) {
            *bucket += count;
        }
    }

    /// Upper bound of the bucket that holds a quantile between 0 and 1, `None` without any count.
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
