//! Command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// The flamingorock proxy daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "flamingorockd", version, about)]
pub struct Args {
    /// Runs with the settings of a file.
    #[arg(long, value_name = "FILE", required_unless_present = "check")]
    pub config: Option<PathBuf>,
    /// Checks the settings of a file and ends.
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    pub check: Option<PathBuf>,
}
