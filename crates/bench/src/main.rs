//! Command-line entry point of the benchmark, which prints the report to the standard output.

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;
use flamingorock_bench::Arguments;

fn main() -> ExitCode {
    match flamingorock_bench::run(&Arguments::parse()) {
        Ok(report) => match writeln!(std::io::stdout(), "{report}") {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        },
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "flamingorock-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
