//! Rates at which queues are drained.

/// Smoothed interval between the dispatches of a rank while its queue is not empty. It covers what the
/// other ranks take away, which a service time alone does not.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    interval_us: Option<u64>,
    /// The last dispatch, if it left the queue non-empty.
    busy_since_us: Option<u64>,
}

impl DrainRate {
    /// Weight of a new observation is one part in this many.
    const SMOOTHING: u64 = 16;

    /// Records a dispatch. An interval counts at most as much as the rank's floor allows, so that one
    /// stall, such as a promotion, does not make the queue look slow for long.
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
