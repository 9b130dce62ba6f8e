//! Summaries of one rank.

use flamingorock_core::burn::{LatencySummary, OutcomeCounts, RankBurn, WindowBurn};
use serde::Serialize;

use super::BurnRate;

/// Summary of one rank over all proxies that answered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RankSummary {
    /// Name of the rank.
    pub rank: String,
    /// Latency that a request should not exceed.
    pub target_latency_ms: u64,
    /// Share of the requests that should be good.
    pub target_percent: f64,
    /// Counts since the proxies started.
    pub total: OutcomeCounts,
    /// Bad events since the proxies started: slow or with unknown outcome.
    pub bad: u64,
    /// Worth of the bad events.
    pub worth_lost: u64,
    /// Share of the error budget that is left since the proxies started; negative if it is overspent.
    pub budget_left_percent: f64,
    /// How fast the error budget is spent, the shortest window first; 1 spends it exactly.
    pub burn_rates: Vec<BurnRate>,
    /// Share of the reads that were allowed to be stale which a replica served, if there were any.
    pub replica_reads_percent: Option<f64>,
    /// Quantiles of the proxy where they are worst.
    pub worst_latency_ms: LatencySummary,
}

impl RankSummary {
    /// Summary of the merged counts.
    #[expect(clippy::cast_precision_loss, reason = "a share needs no exact counts")]
    pub(super) fn new(merged: &RankBurn) -> Self {
        let target = merged.target_percent;
        let rate = |window: &WindowBurn| BurnRate {
            window_s: window.window_s,
            burn_rate: window.counts.burn_rate(target),
        };
        let bad = merged.total.bad();
        Self {
            rank: merged.rank.clone(),
            target_latency_ms: merged.target_latency_ms,
            target_percent: target,
            total: merged.total,
            bad,
            worth_lost: bad.saturating_mul(u64::from(merged.worth)),
            budget_left_percent: (1.0 - merged.total.burn_rate(target)) * 100.0,
            burn_rates: merged.windows.iter().map(rate).collect(),
            replica_reads_percent: (merged.reads > 0)
                .then(|| merged.replica_reads as f64 / merged.reads as f64 * 100.0),
            worst_latency_ms: merged.latency_ms,
        }
    }
}
