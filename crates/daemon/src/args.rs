//! Command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// The flamingorock proxy daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "flamingorockd", version, about)]
pub struct Args {
    /// Run with the settings in a file.
    #[arg(long, value_name = "FILE", required_unless_present_any = ["check", "pooled"])]
    pub config: Option<PathBuf>,
    /// Check the settings in a file and exit.
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    pub check: Option<PathBuf>,
    /// Run in the pooled mode, with the settings file that the platform writes.
    #[arg(long, conflicts_with_all = ["config", "check"])]
    pub pooled: bool,
    /// Port for metrics in the pooled mode; without it no metrics are served.
    #[arg(long, value_name = "PORT", requires = "pooled")]
    pub metrics_port: Option<u16>,
}
