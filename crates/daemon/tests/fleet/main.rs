//! End-to-end tests with real proxy processes, against stand-ins of the database instances, the
//! key-value service and the host list.

use std::path::Path;
use std::process::Command;

mod bad_input;
mod cut_primary;
mod end_to_end;
mod failures;
mod hostile_input;
mod paused_owner;
mod store_outage;
mod support;

/// Returns the command that runs a proxy with a settings file.
fn daemon_command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flamingorockd"));
    command.arg("--config").arg(settings);
    command
}
