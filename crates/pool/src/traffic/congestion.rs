//! Detects congestion of an instance from its response times.

/// Compares an instance's smoothed response time with the best mean of recent windows.
///
/// An instance serves statements in order of arrival, whatever their rank, and no proxy sees the
/// whole queue. Response times grow with the queue, so every proxy can detect congestion on its
/// own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    smoothed_us: u64,
    /// Lowest mean response time of recent windows, raised slowly; absent until one window is
    /// complete.
    baseline_us: Option<u64>,
    window_end_us: u64,
    window_sum_us: u64,
    window_count: u64,
}

impl Congestion {
    /// Inverse weight of a new sample in the exponentially weighted moving average.
    const EWMA_DIVISOR: u64 = 8;
    /// Length of a window.
    const WINDOW_US: u64 = 1_000_000;
    /// Samples that a window needs before its mean counts.
    const MIN_WINDOW_SAMPLES: u64 = 4;
    /// The baseline rises by 1/32 with each window whose mean is above it, so that it follows a
    /// workload that has become slower.
    const BASELINE_RISE_DIVISOR: u64 = 32;
    /// An instance is congested if its smoothed response time exceeds this multiple of the
    /// baseline.
    const CONGESTION_FACTOR: u64 = 2;
    /// Smoothed response time up to which an instance is never considered congested.
    const MIN_CONGESTED_US: u64 = 20_000;

    /// Adds the response time of a successful statement.
    pub fn record(&mut self, response_time_us: u64, now_us: u64) {
        self.smoothed_us = match self.smoothed_us {
            0 => response_time_us,
            smoothed_us => {
                (smoothed_us * (Self::EWMA_DIVISOR - 1) + response_time_us) / Self::EWMA_DIVISOR
            }
        };
        if now_us >= self.window_end_us {
            self.close_window();
            self.window_end_us = now_us + Self::WINDOW_US;
        }
        self.window_sum_us += response_time_us;
        self.window_count += 1;
    }

    fn close_window(&mut self) {
        if self.window_count >= Self::MIN_WINDOW_SAMPLES {
            let mean_us = self.window_sum_us / self.window_count;
            let raised_us = self.baseline_us.map(|us| us + us / Self::BASELINE_RISE_DIVISOR);
            self.baseline_us = Some(raised_us.map_or(mean_us, |us| us.min(mean_us)));
        }
        self.window_sum_us = 0;
        self.window_count = 0;
    }

    /// Smoothed response time, 0 before the first sample.
    pub fn response_time_us(&self) -> u64 {
        self.smoothed_us
    }

    /// Whether responses take much longer than they do without a queue.
    pub fn is_congested(&self) -> bool {
        self.smoothed_us > Self::MIN_CONGESTED_US
            && self.baseline_us.is_some_and(|us| self.smoothed_us > us * Self::CONGESTION_FACTOR)
    }
}
