//! Parameters of the control machine.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::Permit;

/// Parameters of the control machine.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Name of this host, unique in the fleet.
    pub name: Bytes,
    /// Differs with each start of the process.
    pub incarnation: u64,
    /// Address at which the other proxies reach this one.
    pub peer_address: SocketAddr,
    /// Permission to serve from primaries, shared with the traffic thread.
    pub permit: Permit,
    /// Time from the request to stop until the process is killed.
    pub grace_us: u64,
}
