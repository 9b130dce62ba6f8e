//! Request counters of a rank.

use super::LatencyHistogram;
use crate::ResultClass;

/// Request counters of one rank of a service on the entry side. They never decrease.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RankCounters {
    /// Requests answered within the target latency.
    pub good: u64,
    /// Requests answered later than the target latency.
    pub slow: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Requests refused with a code of class `NotRun`.
    pub refused: u64,
    /// Requests that ended with a code of class `RolledBack`.
    pub rolled_back: u64,
    /// Requests abandoned because their caller disconnected.
    pub abandoned: u64,
    /// Answered reads that allowed stale data.
    pub reads: u64,
    /// Reads in `reads` that a replica served.
    pub replica_reads: u64,
    /// Latencies of answered requests.
    pub latency: LatencyHistogram,
}

impl RankCounters {
    /// Counts an answered request.
    pub(crate) fn record_reply(&mut self, latency_us: u64, target_latency_us: u64) {
        self.latency.record(latency_us);
        if latency_us <= target_latency_us {
            self.good += 1;
        } else {
            self.slow += 1;
        }
    }

    /// Counts a request that no backend server answered.
    pub(crate) fn record_refusal(&mut self, class: ResultClass) {
        match class {
            ResultClass::NotRun => self.refused += 1,
            ResultClass::RolledBack => self.rolled_back += 1,
            ResultClass::OutcomeUnknown | ResultClass::Done => self.unknown += 1,
        }
    }
}
