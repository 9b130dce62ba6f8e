//! Load shedding under sustained overload.

use crate::configuration::Rank;

/// Decides for one rank when to refuse requests although they could still meet their deadline.
///
/// A short burst, such as the one after a promotion, may fill the queue up to the deadline. Under
/// sustained overload a queue that long would make every request wait almost until its deadline
/// without increasing throughput, so the queue is kept short enough to meet the target latency.
#[derive(Clone, Debug)]
pub(crate) struct LoadShedder {
    target_latency_us: u64,
    over_target_since_us: Option<u64>,
    /// Time until which requests are shed; each refusal extends it.
    shed_until_us: u64,
}

impl LoadShedder {
    /// Time for which waits must exceed the target latency before requests are shed, and for which
    /// shedding continues after the last refusal.
    const INTERVAL_US: u64 = 2_000_000;
    /// Maximum expected wait while requests are shed, as a percentage of the target latency.
    const SHED_WAIT_PERCENT: u64 = 60;

    pub(crate) fn new(rank: &Rank) -> Self {
        Self {
            target_latency_us: rank.target_latency_us,
            over_target_since_us: None,
            shed_until_us: 0,
        }
    }

    /// Records the queueing time of a dispatched request.
    pub(crate) fn record_wait(&mut self, waited_us: u64, now_us: u64) {
        if waited_us <= self.target_latency_us {
            self.over_target_since_us = None;
            return;
        }
        let since_us = *self.over_target_since_us.get_or_insert(now_us);
        if now_us >= since_us + Self::INTERVAL_US {
            self.shed_until_us = now_us + Self::INTERVAL_US;
        }
    }

    /// Whether to refuse a new request with the given expected wait. A refusal prolongs shedding.
    pub(crate) fn should_shed(&mut self, wait_us: u64, now_us: u64) -> bool {
        let limit_us = self.target_latency_us * Self::SHED_WAIT_PERCENT / 100;
        if now_us >= self.shed_until_us || wait_us <= limit_us {
            return false;
        }
        self.shed_until_us = now_us + Self::INTERVAL_US;
        true
    }
}
