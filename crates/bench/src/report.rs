//! Report of a run.

mod idle_row;
mod latency_row;
mod throughput_row;

use std::fmt;
use std::thread;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

pub use idle_row::IdleRow;
pub use latency_row::LatencyRow;
pub use throughput_row::ThroughputRow;

/// Results of a run. `Display` formats them as Markdown tables.
pub struct Report {
    pub(crate) commit: String,
    pub(crate) durability: String,
    pub(crate) latency: Vec<LatencyRow>,
    pub(crate) throughput: Vec<ThroughputRow>,
    pub(crate) idle: Vec<IdleRow>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cores = thread::available_parallelism().map_or(0, usize::from);
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = load.split(' ').next().unwrap_or_default();
        writeln!(f, "commit {}, {cores} cores, durability = {}", self.commit, self.durability)?;
        writeln!(f, "load average over the last minute at the end: {load}")?;
        let latency = self.latency.iter().map(LatencyRow::cells);
        write_table(f, "Latency, 1 caller", &LatencyRow::HEADER, latency)?;
        let throughput = self.throughput.iter().map(ThroughputRow::cells);
        write_table(f, "Throughput", &ThroughputRow::HEADER, throughput)?;
        let idle = self.idle.iter().map(|row| row.cells(self.idle.first()));
        write_table(f, "Idle callers", &IdleRow::HEADER, idle)
    }
}

fn write_table<const N: usize>(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    header: &[&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> fmt::Result {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    write!(f, "\n{title}\n\n{table}\n")
}
