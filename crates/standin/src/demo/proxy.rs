//! Proxy processes.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use flamingorock_standin::free_port;

use super::DemoError;
use super::settings::DATABASE;

/// Addresses that a proxy listens on.
#[derive(Clone, Copy)]
pub(super) struct Addresses {
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) admin: SocketAddr,
}

impl Addresses {
    /// Free ports on loopback.
    pub(super) fn free() -> Self {
        let address = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        Self { callers: address(), peers: address(), admin: address() }
    }
}

/// A proxy process. It is killed when it is dropped.
pub(super) struct Proxy {
    pub(super) name: String,
    pub(super) admin: SocketAddr,
    callers: SocketAddr,
    child: Child,
}

impl Proxy {
    pub(super) fn start(
        name: String,
        addresses: Addresses,
        program: &Path,
        settings: &Path,
    ) -> Result<Self, DemoError> {
        let child = Command::new(program)
            .arg("--config")
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .map_err(DemoError::io(format!("cannot start {program:?}")))?;
        Ok(Self { name, admin: addresses.admin, callers: addresses.callers, child })
    }

    /// Connection string of callers.
    pub(super) fn url(&self) -> String {
        let (ip, port) = (self.callers.ip(), self.callers.port());
        format!("host={ip} port={port} user=crew dbname={DATABASE} connect_timeout=5")
    }

    /// Ends the process as a crash would.
    pub(super) fn kill(&mut self) -> Result<(), DemoError> {
        let ended = self.child.kill().and_then(|()| self.child.wait());
        ended.map(drop).map_err(DemoError::io(format!("cannot kill {}", self.name)))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
