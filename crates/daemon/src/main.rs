//! The flamingorock proxy daemon.

use std::process::ExitCode;

use clap::Parser;
use flamingorock_config::Settings;
use flamingorockd::{Args, run, run_pooled};

fn main() -> ExitCode {
    match start(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> Result<(), String> {
    if let Some(file) = &args.check {
        Settings::load(file).map_err(|errors| errors.to_string())?;
        println!("{}: the settings are valid", file.display());
    }
    if args.pooled {
        run_pooled(args.metrics_port).map_err(|error| error.to_string())?;
    }
    if let Some(file) = &args.config {
        let settings = Settings::load(file).map_err(|errors| errors.to_string())?;
        run(settings).map_err(|error| error.to_string())?;
    }
    Ok(())
}
