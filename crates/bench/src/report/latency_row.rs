//! Row of the latency table.

use hdrhistogram::Histogram;

use crate::measure::PathKind;
use crate::statement::Statement;

/// Latency of a statement over one path.
pub struct LatencyRow {
    statement: Statement,
    path: PathKind,
    count: u64,
    median_ns: u64,
    p99_ns: u64,
    direct_ns: u64,
}

impl LatencyRow {
    pub(crate) const HEADER: [&'static str; 6] =
        ["statement", "path", "statements", "median, us", "p99, us", "added median, us"];

    pub(crate) fn new(
        statement: Statement,
        path: PathKind,
        latency_ns: &Histogram<u64>,
        direct_ns: u64,
    ) -> Self {
        let quantile = |quantile| latency_ns.value_at_quantile(quantile);
        let (median_ns, p99_ns) = (quantile(0.5), quantile(0.99));
        Self { statement, path, count: latency_ns.len(), median_ns, p99_ns, direct_ns }
    }

    pub(crate) fn cells(&self) -> [String; 6] {
        let us = |ns: u64| format!("{:.1}", ns as f64 / 1e3);
        let added = match self.path {
            PathKind::Direct => String::new(),
            _ => us(self.median_ns.saturating_sub(self.direct_ns)),
        };
        [
            self.statement.to_string(),
            self.path.to_string(),
            self.count.to_string(),
            us(self.median_ns),
            us(self.p99_ns),
            added,
        ]
    }
}
