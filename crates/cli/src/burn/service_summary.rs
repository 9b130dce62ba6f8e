//! Summaries of one service.

use serde::Serialize;

use super::RankSummary;

/// Summary of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// Name of the service.
    pub service: String,
    /// Ranks, the most urgent first.
    pub ranks: Vec<RankSummary>,
}
