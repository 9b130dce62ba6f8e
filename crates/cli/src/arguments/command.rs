//! Commands.

use std::path::PathBuf;

use clap::Subcommand;
use clap_complete::Shell;

use super::{BurnFormat, ProxyArguments, StoreArguments};

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Checks a service file without the store and prints all its errors.
    Check {
        /// Service file.
        file: PathBuf,
    },
    /// Prints what an apply of a service file would change.
    Plan {
        /// Service file.
        file: PathBuf,
        /// The store.
        #[command(flatten)]
        store: StoreArguments,
    },
    /// Applies a service file as the whole configuration.
    Apply {
        /// Service file.
        file: PathBuf,
        /// Applies only if this version is in force; 0 means that there is none.
        #[arg(long, value_name = "VERSION")]
        expect_version: Option<u64>,
        /// Name that is kept with the version; the name of the user unless given.
        #[arg(long, value_name = "NAME")]
        applied_by: Option<String>,
        /// The store.
        #[command(flatten)]
        store: StoreArguments,
    },
    /// Prints the configuration in force, or a kept one, in its canonical form.
    Get {
        /// Version to print instead of the one in force.
        #[arg(long)]
        version: Option<u64>,
        /// Prints the text as it was applied, with its comments.
        #[arg(long)]
        raw: bool,
        /// The store.
        #[command(flatten)]
        store: StoreArguments,
    },
    /// Lists the versions that are kept, the newest first.
    History {
        /// The store.
        #[command(flatten)]
        store: StoreArguments,
    },
    /// Prints the status of proxies.
    Status {
        /// The proxies.
        #[command(flatten)]
        proxies: ProxyArguments,
    },
    /// Shuts a proxy down without interrupting any request.
    Drain {
        /// Number or name of the host; its proxy must be among the given ones.
        host: String,
        /// The proxies.
        #[command(flatten)]
        proxies: ProxyArguments,
    },
    /// Moves the primary of a database to another instance.
    Promote {
        /// Name of the database.
        database: String,
        /// Name of the instance.
        #[arg(long, value_name = "INSTANCE")]
        to: String,
        /// The proxies.
        #[command(flatten)]
        proxies: ProxyArguments,
    },
    /// Prints how much of the error budgets has been spent.
    Burn {
        /// Form of the report.
        #[arg(long, value_enum, default_value_t = BurnFormat::Table)]
        format: BurnFormat,
        /// The proxies.
        #[command(flatten)]
        proxies: ProxyArguments,
    },
    /// Prints what the collected logs of proxies in the pooled mode say about a request.
    Explain {
        /// Id of the request.
        id: String,
        /// Logs, one file a process.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// How long before the request's first line changes of belief are shown.
        #[arg(long, value_name = "MILLISECONDS", default_value_t = 3_000)]
        before_ms: u64,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// Shell.
        shell: Shell,
    },
}
