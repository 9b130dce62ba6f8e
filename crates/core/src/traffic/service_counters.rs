//! Request counters of a service.

use super::RankCounters;

/// Request counters of one service on the entry side, by rank.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounters {
    /// Name of the service.
    pub service: String,
    /// Rank names with their counters, in the order in which the ranks were first configured.
    pub ranks: Vec<(String, RankCounters)>,
}
