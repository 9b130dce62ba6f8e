//! Runs one stand-in as a process until it is killed, or the demo job.

mod demo;

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::{io, thread};

use clap::{Args, Parser, Subcommand};
use flamingorock_standin::{Database, DatabaseConfig, HostList, Store};

/// Stand-ins for the systems around flamingorock, for tests and the quick start.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Database instance: PostgreSQL protocol, replication and a control port.
    Database(DatabaseArguments),
    /// Key-value service: Consul KV HTTP API.
    Store(HttpArguments),
    /// Host list: Consul catalog HTTP API.
    HostList(HttpArguments),
    /// Demo job: two proxies and all stand-ins on loopback, with failures on the way.
    ///
    /// Exits with 0 only if every acknowledged write is in the database's log exactly once.
    Demo(demo::DemoArguments),
}

#[derive(Args)]
struct HttpArguments {
    /// Address to listen on, IP:PORT.
    #[arg(long)]
    listen: SocketAddr,
}

#[derive(Args)]
struct DatabaseArguments {
    /// Address to listen on, IP:PORT.
    #[arg(long)]
    listen: SocketAddr,
    /// Port of the control connections; the port of --listen plus 1,000 by default.
    #[arg(long)]
    control_port: Option<u16>,
    /// Statements that execute at a time.
    #[arg(long, default_value_t = DatabaseConfig::default().slots)]
    slots: usize,
    /// Connections at a time.
    #[arg(long, default_value_t = DatabaseConfig::default().connections)]
    connections: usize,
    /// Time that each statement takes, in microseconds.
    #[arg(long, default_value_t = DatabaseConfig::default().service_time_us)]
    service_time_us: u64,
    /// Time that a new connection takes, in microseconds.
    #[arg(long, default_value_t = DatabaseConfig::default().connect_time_us)]
    connect_time_us: u64,
    /// Age at which a replica applies a log entry, in milliseconds.
    #[arg(long, default_value_t = DatabaseConfig::default().lag_ms)]
    lag_ms: u64,
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .init();
    match Arguments::parse().command {
        Command::Database(arguments) => {
            let config = DatabaseConfig {
                slots: arguments.slots,
                connections: arguments.connections,
                service_time_us: arguments.service_time_us,
                connect_time_us: arguments.connect_time_us,
                lag_ms: arguments.lag_ms,
                control_port: arguments.control_port,
            };
            let database = Database::start(arguments.listen, &config)?;
            run_until_killed(database.address())
        }
        Command::Store(arguments) => {
            let store = Store::start(arguments.listen)?;
            run_until_killed(store.address())
        }
        Command::HostList(arguments) => {
            let host_list = HostList::start(arguments.listen)?;
            run_until_killed(host_list.address())
        }
        Command::Demo(arguments) => Ok(demo::run(&arguments)?),
    }
}

/// Tells the parent process that the stand-in is ready and blocks for ever.
fn run_until_killed(address: SocketAddr) -> Result<(), Box<dyn Error>> {
    writeln!(io::stdout(), "listening on {address}")?;
    io::stdout().flush()?;
    loop {
        thread::park();
    }
}
