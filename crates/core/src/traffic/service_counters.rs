//! Counters of a service.

use super::RankCounters;

/// Counters of a service at this proxy's entry side, by rank.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounters {
    /// Name of the service.
    pub service: String,
    /// Names of the ranks and their counters, the most urgent first.
    pub ranks: Vec<(String, RankCounters)>,
}
