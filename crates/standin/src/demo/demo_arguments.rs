//! Arguments of the demo job.

use std::path::PathBuf;

use clap::Args;

/// Arguments of the demo job.
#[derive(Args, Debug)]
pub struct DemoArguments {
    /// Folder with the programs flamingorockd and flamingoctl; that of this program by default.
    #[arg(long, value_name = "FOLDER")]
    pub programs: Option<PathBuf>,
    /// Limit of each wait for a state, in seconds.
    #[arg(
        long,
        value_name = "S",
        default_value_t = 30,
        value_parser = clap::value_parser!(u64).range(1..=600),
    )]
    pub limit_s: u64,
}
