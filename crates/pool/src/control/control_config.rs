//! Parameters of the control machine.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::Permit;

/// Parameters that the process passes to the control machine when it starts.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Host name of this proxy, unique in the fleet.
    pub name: Bytes,
    /// Number that is higher with each start of the process.
    pub incarnation: u64,
    /// Address at which the other proxies reach this one.
    pub peer_address: SocketAddr,
    /// Permit that the control machine extends and the traffic thread checks.
    pub permit: Permit,
    /// Time between the stop request and the moment at which the platform kills the process.
    pub grace_us: u64,
}
