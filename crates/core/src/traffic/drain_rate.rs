//! Rate at which a rank's queue is drained.

/// Moving average of the interval between dispatches of a rank while its queue is not empty. Unlike
/// the service time, it accounts for the capacity that other ranks use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    interval_us: Option<u64>,
    /// Time of the last dispatch if the queue was not empty after it.
    busy_since_us: Option<u64>,
}

impl DrainRate {
    /// A new sample has a weight of 1 / `SMOOTHING`.
    const SMOOTHING: u64 = 16;

    /// Records a dispatch. Intervals are capped at `max_interval_us`, which follows from the rank's
    /// floor, so that a single stall, such as a promotion, does not distort the average for long.
    pub(crate) fn record_dispatch(
        &mut self,
        now_us: u64,
        max_interval_us: u64,
        leaves_empty: bool,
    ) {
        if let Some(since_us) = self.busy_since_us {
            let interval_us = (now_us - since_us).min(max_interval_us);
            let smoothed_us = self.interval_us.map_or(interval_us, |average_us| {
                (average_us * (Self::SMOOTHING - 1) + interval_us) / Self::SMOOTHING
            });
            self.interval_us = Some(smoothed_us);
        }
        self.busy_since_us = (!leaves_empty).then_some(now_us);
    }

    pub(crate) fn interval_us(&self) -> Option<u64> {
        self.interval_us
    }
}
