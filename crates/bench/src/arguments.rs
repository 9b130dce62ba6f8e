//! Command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// Measures latency, throughput, memory and idle cost of proxies on loopback.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct Arguments {
    /// Path of the daemon binary to measure.
    #[arg(long, default_value = "target/release/flamingorockd")]
    pub daemon: PathBuf,
    /// Number of statements in each latency measurement.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u32).range(8..=1_000_000))]
    pub statements: u32,
    /// Duration of each throughput measurement, in milliseconds.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
    pub load_ms: u64,
    /// Caller counts of the throughput measurements.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 64, 1024],
        value_parser = clap::value_parser!(u16).range(1..=8_000))]
    pub callers: Vec<u16>,
    /// Idle caller counts of the memory measurements, in ascending order.
    #[arg(long, value_delimiter = ',', default_values_t = [1000, 5000],
        value_parser = clap::value_parser!(u16).range(1..=8_000))]
    pub idle_callers: Vec<u16>,
    /// Duration of each idle measurement, in milliseconds.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
    pub idle_ms: u64,
    /// Durability setting of the service: replica or primary.
    #[arg(long, default_value = "replica", value_parser = ["replica", "primary"])]
    pub durability: String,
    /// Commit to print in the report.
    #[arg(long, default_value = "unknown")]
    pub commit: String,
}
