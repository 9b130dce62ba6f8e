//! Arguments of the command line.

mod burn_format;
mod command;
mod output;
mod proxy_arguments;
mod store_arguments;

use clap::Parser;

pub use burn_format::BurnFormat;
pub use command::Command;
pub use output::Output;
pub use proxy_arguments::ProxyArguments;
pub use store_arguments::StoreArguments;

use crate::ExitStatus;

/// Configures and inspects a fleet of flamingorock proxies.
#[derive(Clone, Debug, Parser)]
#[command(name = "flamingoctl", version, after_help = ExitStatus::HELP)]
pub struct Arguments {
    /// Form of what is printed.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub output: Output,
    /// Limit of one call to the store or to a proxy, in milliseconds.
    #[arg(
        long,
        global = true,
        default_value_t = 3000,
        value_name = "MS",
        value_parser = clap::value_parser!(u64).range(10..=600_000),
    )]
    pub timeout_ms: u64,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}
