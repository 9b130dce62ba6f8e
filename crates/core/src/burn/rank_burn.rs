//! The error budget report of one rank.

use serde::{Deserialize, Serialize};

use super::{LatencySummary, OutcomeCounts, WindowBurn};

/// Error budget report of one rank of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankBurn {
    /// Name of the rank, unique within its service.
    pub rank: String,
    /// Latency up to which a reply counts as good.
    pub target_latency_ms: u64,
    /// Service level objective: percentage of events that should be good.
    pub target_percent: f64,
    /// Value of one good request relative to other ranks, as configured.
    pub worth: u32,
    /// Counts over sliding windows, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Totals since the process started.
    pub total: OutcomeCounts,
    /// Answered reads since the process started that allowed stale data.
    pub reads: u64,
    /// Number of those reads that a replica served.
    pub replica_reads: u64,
    /// Latency of answered requests since the process started.
    pub latency_ms: LatencySummary,
}
