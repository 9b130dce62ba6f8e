//! Early refusal under sustained overload.

use crate::configuration::Rank;

/// Decides for one rank when requests are refused although they could still meet their deadline.
///
/// A short burst, such as the one after a promotion, may fill the queue up to the deadline. Under a
/// lasting overload that would make every request wait for almost its whole deadline without a single
/// one more being served, so the queue is held short enough to meet the target latency instead.
#[derive(Clone, Debug)]
pub(crate) struct LoadShedder {
    target_latency_us: u64,
    over_target_since_us: Option<u64>,
    /// Until when requests are shed; moves on with each refusal.
    shed_until_us: u64,
}

impl LoadShedder {
    /// Time for which waits must be over the target before requests are shed, and for which shedding
    /// goes on after the last refusal.
    const INTERVAL_US: u64 = 2_000_000;
    /// Share of the target latency that a request may wait while requests are shed.
    const SHED_WAIT_PERCENT: u64 = 60;

    pub(crate) fn new(rank: &Rank) -> Self {
        Self {
            target_latency_us: rank.target_latency_us,
            over_target_since_us: None,
            shed_until_us: 0,
        }
    }

    /// Records the wait of a request that is dispatched.
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

    /// Whether a request with an expected wait is to be refused.
    pub(crate) fn should_shed(&mut self, wait_us: u64, now_us: u64) -> bool {
        let limit_us = self.target_latency_us * Self::SHED_WAIT_PERCENT / 100;
        if now_us >= self.shed_until_us || wait_us <= limit_us {
            return false;
        }
        self.shed_until_us = now_us + Self::INTERVAL_US;
        true
    }
}
