//! Ranks of work.

/// One rank of work of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
    /// Name that callers give.
    pub name: String,
    /// Latency that a request of this rank should not exceed.
    pub target_latency_us: u64,
    /// Share of requests that should meet the target latency, between 0 and 1.
    pub target_fraction: f64,
    /// Share of the recent dispatches that the rank keeps under any load, in percent.
    pub floor_percent: u8,
    /// Worth of one request answered within its target, for the burn report.
    pub worth: u32,
    /// Time after which a request is given up unless the caller set its own.
    pub deadline_us: u64,
}
