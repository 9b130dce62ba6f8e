//! Command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// The flamingorock proxy daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "flamingorockd", version, about)]
pub struct Args {
    /// Runs with the settings of a file.
    #[arg(long, value_name = "FILE", required_unless_present_any = ["check", "pooled"])]
    pub config: Option<PathBuf>,
    /// Checks the settings of a file and ends.
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    pub check: Option<PathBuf>,
    /// Runs on the platform, with the settings that the platform writes.
    #[arg(long, conflicts_with_all = ["config", "check"])]
    pub pooled: bool,
    /// Port of the metrics, with `--pooled`; none by default.
    #[arg(long, value_name = "PORT", requires = "pooled")]
    pub metrics_port: Option<u16>,
}
