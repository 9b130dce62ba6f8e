//! Entries of the platform's host list.

use core::net::IpAddr;

/// A host in the platform's list. The list lags behind the hosts' real state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// IP address of the host; instances are matched by it.
    pub address: IpAddr,
    /// Whether the host is leaving.
    pub leaving: bool,
}
