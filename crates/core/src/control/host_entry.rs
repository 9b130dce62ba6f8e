//! Entries of the platform's host list.

use core::net::IpAddr;

/// A host in the platform's host list. The list is eventually consistent: it lags behind the real
/// state of the hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host. An entry named `DATABASE-INSTANCE` applies to that instance only.
    pub name: String,
    /// IP address of the host. Entries without an instance's name apply to all instances with this
    /// address.
    pub address: IpAddr,
    /// Whether the platform is about to take the host out of service.
    pub leaving: bool,
}
