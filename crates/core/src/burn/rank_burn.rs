//! Reports of one rank.

use serde::{Deserialize, Serialize};

use super::{LatencySummary, OutcomeCounts, WindowBurn};

/// Report of one rank of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankBurn {
    /// Name of the rank.
    pub rank: String,
    /// Latency that a request should not exceed.
    pub target_latency_ms: u64,
    /// Share of the requests that should be good.
    pub target_percent: f64,
    /// Worth of one good request.
    pub worth: u32,
    /// Counts over sliding windows, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Counts since the process started.
    pub total: OutcomeCounts,
    /// Reads since the process started that were allowed to be served by a replica.
    pub reads: u64,
    /// Those of them that a replica served.
    pub replica_reads: u64,
    /// Latency of the accepted requests since the process started.
    pub latency_ms: LatencySummary,
}
