//! Ranks, the priority classes of a service.

/// A priority class of requests within a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
    /// Name by which callers select the rank.
    pub name: String,
    /// Latency up to which a reply counts as good.
    pub target_latency_us: u64,
    /// Service level objective: fraction (0 to 1) of requests that should meet the target latency.
    pub target_fraction: f64,
    /// Guaranteed minimum percentage of recent dispatches while the rank has requests waiting.
    pub floor_percent: u8,
    /// Value of one request answered within its target latency relative to other ranks; used only
    /// in the error budget report.
    pub worth: u32,
    /// Time limit of requests whose caller sets no deadline, counted from arrival.
    pub deadline_us: u64,
}
