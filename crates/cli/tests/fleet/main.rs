//! The real `flamingoctl` against real proxy processes and stand-ins of the platform.
//!
//! Cargo builds the programs of the tested package only, so that a test of this package can rely on
//! `flamingoctl`, but not on `flamingorockd`. The proxies are therefore processes of this test
//! program that run the daemon's library as its thin `main` does.

use std::env;
use std::path::Path;
use std::process::Command;

mod ctl;
mod racing_operators;
mod running_proxies;
#[expect(dead_code, reason = "the daemon's tests use all of it")]
#[path = "../../../daemon/tests/fleet/support/mod.rs"]
mod support;

/// Name of the variable that makes [`proxy_process`] a proxy with the settings file that it names.
const SETTINGS_VARIABLE: &str = "FLAMINGOROCK_TEST_PROXY_SETTINGS";

/// Command that runs a proxy with a settings file.
fn daemon_command(settings: &Path) -> Command {
    let mut command = Command::new(env::current_exe().expect("this program"));
    command.args(["--exact", "proxy_process", "--nocapture", "--test-threads=1"]);
    command.env(SETTINGS_VARIABLE, settings);
    command
}

/// Is no test but the body of the proxy processes; without the variable it does nothing.
#[test]
fn proxy_process() {
    if let Some(file) = env::var_os(SETTINGS_VARIABLE) {
        let settings = flamingorock_config::Settings::load(Path::new(&file));
        flamingorockd::run(settings.expect("valid settings")).expect("the proxy runs");
    }
}
