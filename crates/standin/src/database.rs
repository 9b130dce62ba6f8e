//! Database instance: a small PostgreSQL server in memory that replicates its log.

mod connection;
mod describe;
mod error;
mod evaluate;
mod execute;
mod extended;
mod faults;
mod group;
mod instance;
mod project;
mod query;
mod replication;
mod session;
mod sql;
mod storage;
mod table;
mod value;
mod wire;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crate::server::Server;
use faults::Faults;
use instance::{Instance, State};

pub use storage::Storage;

/// Attempts to find a free pair of ports when the system chooses them.
const PORT_ATTEMPTS: usize = 50;

/// Settings of a database instance.
#[derive(Clone, Debug)]
pub struct DatabaseConfig {
    /// Statements that execute at a time.
    pub slots: usize,
    /// Connections at a time, those of the control port not counted.
    pub connections: usize,
    /// Time that each statement takes, in microseconds.
    pub service_time_us: u64,
    /// Time that a new connection takes, in microseconds.
    pub connect_time_us: u64,
    /// Age at which a replica applies a log entry, in milliseconds.
    pub lag_ms: u64,
    /// Port of the control connections; `None` for the main port plus 1,000.
    pub control_port: Option<u16>,
}

impl Default for DatabaseConfig {
    fn default() -> Self {
        Self {
            slots: 5,
            connections: 50,
            service_time_us: 0,
            // Cost of a new connection on the platform, from section 1 of the design page.
            connect_time_us: 12_000,
            lag_ms: 0,
            control_port: None,
        }
    }
}

/// A running database instance; it stops when the handle is dropped.
///
/// `SELECT standin_fault('NAME', VALUE)` sets a fault, on the control port at any time:
///
/// - `cut_group`, 0 or 1: no replication message is sent or handled;
/// - `cut_proxies`, 0 or 1: data connections stay open, but are neither read nor answered;
/// - `refuse_connections`, 0 or 1: new data connections are closed at once;
/// - `lag_ms`, `service_time_us`, `connect_time_us`: as in [`DatabaseConfig`];
/// - `drop_answer`, number of commits that take effect and break their connection.
pub struct Database {
    instance: Arc<Instance>,
    data: Server,
    control: Server,
    threads: Vec<JoinHandle<()>>,
}

impl Database {
    /// Starts an empty instance, a replica of nobody. Port 0 lets the system choose the ports.
    ///
    /// # Errors
    ///
    /// Fails when one of the ports cannot be bound.
    pub fn start(address: SocketAddr, config: &DatabaseConfig) -> io::Result<Self> {
        Self::resume(address, config, Storage::default())
    }

    /// Starts an instance with the disk of one that has stopped. It comes up as a replica of nobody.
    ///
    /// # Errors
    ///
    /// Fails when one of the ports cannot be bound.
    pub fn resume(
        address: SocketAddr,
        config: &DatabaseConfig,
        storage: Storage,
    ) -> io::Result<Self> {
        let (data, control) = bind(address, config.control_port)?;
        let faults = Faults {
            lag_ms: config.lag_ms,
            service_time_us: config.service_time_us,
            connect_time_us: config.connect_time_us,
            ..Faults::default()
        };
        let state = State { storage, faults, ..State::default() };
        let instance = Arc::new(Instance::new(config.slots, config.connections, state));
        let serve = |is_control| {
            let instance = Arc::clone(&instance);
            move |stream| connection::serve(&instance, stream, is_control)
        };
        let data = Server::spawn(data, serve(false))?;
        let control = Server::spawn(control, serve(true))?;
        let run = |system: fn(&Instance)| {
            let instance = Arc::clone(&instance);
            thread::spawn(move || system(&instance))
        };
        let threads = vec![run(replication::pull), run(replication::apply)];
        Ok(Self { instance, data, control, threads })
    }

    /// Address of the PostgreSQL port, which serves replication as well.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.data.address()
    }

    /// Address of the control port, which no fault affects.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Ends the instance as a crash would: open transactions are lost, committed ones are on the disk
    /// that is returned.
    #[must_use]
    pub fn stop(mut self) -> Storage {
        self.halt();
        std::mem::take(&mut self.instance.lock().storage)
    }

    fn halt(&mut self) {
        {
            let mut state = self.instance.lock();
            state.stopped = true;
            state.disconnect_upstream();
        }
        self.instance.notify();
        self.data.stop();
        self.control.stop();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Database {
    fn drop(&mut self) {
        self.halt();
    }
}

/// Binds the main port and the control port.
fn bind(address: SocketAddr, control_port: Option<u16>) -> io::Result<(TcpListener, TcpListener)> {
    let mut attempts = if address.port() == 0 { PORT_ATTEMPTS } else { 1 };
    loop {
        let data = TcpListener::bind(address)?;
        let mut control_address = data.local_addr()?;
        let default_port = control_address.port().checked_add(1000);
        let control_port = control_port.or(default_port);
        let error = || io::Error::new(io::ErrorKind::InvalidInput, "no port for control");
        control_address.set_port(control_port.ok_or_else(error)?);
        attempts -= 1;
        match TcpListener::bind(control_address) {
            Ok(control) => return Ok((data, control)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
