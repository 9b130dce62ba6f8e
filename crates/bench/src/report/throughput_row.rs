//! Row of the throughput table.

use crate::load::LoadResult;
use crate::measure::PathKind;
use crate::statement::Statement;

/// Throughput of a statement over one path.
pub struct ThroughputRow {
    pub(crate) statement: Statement,
    pub(crate) path: PathKind,
    pub(crate) callers: u16,
    pub(crate) result: LoadResult,
    pub(crate) owner_cpu_s: f64,
    pub(crate) entry_cpu_s: f64,
    pub(crate) generator_cpu_s: f64,
    pub(crate) standin_cpu_s: f64,
}

impl ThroughputRow {
    pub(crate) const HEADER: [&'static str; 12] = [
        "statement",
        "path",
        "callers",
        "statements/s",
        "failed",
        "median, us",
        "p99, us",
        "statements per CPU-s of owner's traffic thread",
        "statements per CPU-s of entry's traffic thread",
        "owner's traffic thread, cores",
        "load generator, cores",
        "stand-ins, cores",
    ];

    pub(crate) fn cells(&self) -> [String; 12] {
        let elapsed_s = self.result.elapsed_us as f64 / 1e6;
        let done = self.result.latency_ns.len();
        let us = |quantile| {
            format!("{:.0}", self.result.latency_ns.value_at_quantile(quantile) as f64 / 1e3)
        };
        let per_cpu_s = |is_used: bool, cpu_s: f64| match is_used && cpu_s > 0.0 {
            true => format!("{:.0}", done as f64 / cpu_s),
            false => String::new(),
        };
        let cores = |cpu_s: f64| format!("{:.2}", cpu_s / elapsed_s);
        let is_entry = matches!(self.path, PathKind::Entry | PathKind::EntryStale);
        [
            self.statement.to_string(),
            self.path.to_string(),
            self.callers.to_string(),
            format!("{:.0}", done as f64 / elapsed_s),
            self.result.failed.to_string(),
            us(0.5),
            us(0.99),
            per_cpu_s(self.path != PathKind::Direct, self.owner_cpu_s),
            per_cpu_s(is_entry, self.entry_cpu_s),
            cores(self.owner_cpu_s),
            cores(self.generator_cpu_s),
            cores(self.standin_cpu_s),
        ]
    }
}
