//! The operators' command line of flamingorock.

use std::process::ExitCode;

use clap::Parser;
use flamingorock_cli::{Arguments, run};

fn main() -> ExitCode {
    run(&Arguments::parse(), &mut std::io::stdout(), &mut std::io::stderr()).into()
}
