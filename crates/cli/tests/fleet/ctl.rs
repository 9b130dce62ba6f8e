//! Runs of the command line.

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use crate::support::{ADMIN_KEY, Fleet, wait_for};

/// A command of the operators' command line.
pub fn ctl(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flamingoctl"));
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Adds the admin ports of all proxies.
pub fn proxies(fleet: &Fleet, mut command: Command) -> Command {
    for proxy in &fleet.proxies {
        command.args(["--proxy", &proxy.admin.to_string()]);
    }
    command.env("FLAMINGOROCK_ADMIN_KEY", ADMIN_KEY);
    command
}

/// `apply` of a service file by a named operator, as a command.
pub fn apply(fleet: &Fleet, operator: &str, text: &str) -> Command {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("{operator}-{}.ini", fleet.store.address().port()));
    std::fs::write(&file, text).expect("the service file can be written");
    let mut command = ctl(&["apply", "--applied-by", operator]);
    command.args(["--store", &format!("http://{}", fleet.store.address())]).arg(file);
    command
}

/// Runs a command that has to succeed. Returns what it printed.
pub fn run(mut command: Command) -> String {
    let output = command.output().expect("flamingoctl can be started");
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    String::from_utf8(output.stdout).expect("text")
}

/// Standard output and standard error of a run.
pub fn text(output: &Output) -> String {
    [&output.stdout, &output.stderr].map(|bytes| String::from_utf8_lossy(bytes)).join("")
}

/// Waits until a configuration is in force at every proxy.
pub fn wait_for_version(fleet: &Fleet, version: u64) {
    for proxy in &fleet.proxies {
        wait_for("the configuration", || match &proxy.status()["configuration_version"] {
            found if *found == version => Ok(()),
            other => Err(format!("version {other} at host {}", proxy.id)),
        });
    }
}
