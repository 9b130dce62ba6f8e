//! Counters of a rank.

use super::LatencyHistogram;
use crate::ResultClass;

/// Counters of a rank of a service at this proxy's entry side. They only rise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RankCounters {
    /// Requests answered within the target latency.
    pub good: u64,
    /// Requests answered later than the target latency.
    pub slow: u64,
    /// Requests with unknown outcome.
    pub unknown: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests rolled back by the proxy.
    pub rolled_back: u64,
    /// Requests abandoned because the caller disconnected.
    pub abandoned: u64,
    /// Reads that accepted stale data and were answered.
    pub reads: u64,
    /// Those of `reads` that a replica served.
    pub replica_reads: u64,
    /// Latency of answered requests.
    pub latency: LatencyHistogram,
}

impl RankCounters {
    /// Counts an answered request.
    pub(crate) fn record_answer(&mut self, latency_us: u64, target_latency_us: u64) {
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
