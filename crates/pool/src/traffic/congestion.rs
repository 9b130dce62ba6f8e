//! Congestion of an instance, as its answer times show it.

/// Answer times of an instance against those of its best recent second.
///
/// An instance serves in the order of arrival, whatever the rank, and no proxy sees the whole queue.
/// Its answer times rise with the queue, so that each proxy notices congestion by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    smoothed_us: u64,
    /// Mean answer time of the best window.
    baseline_us: Option<u64>,
    window_end_us: u64,
    window_sum_us: u64,
    window_count: u64,
}

impl Congestion {
    /// Weight of a new answer is one part in this many.
    const EWMA_DIVISOR: u64 = 8;
    /// Length of a window.
    const WINDOW_US: u64 = 1_000_000;
    /// Answers that a window needs for a mean.
    const MIN_WINDOW_SAMPLES: u64 = 4;
    /// The baseline rises by one part in this many with each window above it, so that it follows work
    /// that has become slower.
    const BASELINE_RISE_DIVISOR: u64 = 32;
    /// Multiple of the baseline from which an instance counts as congested.
    const CONGESTION_FACTOR: u64 = 2;
    /// Answer time below which no instance counts as congested.
    const MIN_CONGESTED_US: u64 = 20_000;

    /// Records the time of an answer.
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

    /// Smoothed answer time.
    pub fn response_time_us(&self) -> u64 {
        self.smoothed_us
    }

    /// Whether answers take much longer than they do without a queue.
    pub fn is_congested(&self) -> bool {
        self.smoothed_us > Self::MIN_CONGESTED_US
            && self.baseline_us.is_some_and(|us| self.smoothed_us > us * Self::CONGESTION_FACTOR)
    }
}
