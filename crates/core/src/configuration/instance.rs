//! Settings of a database instance.

use core::net::SocketAddr;

/// Settings of one instance of a replicated database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name, unique within its database.
    pub name: String,
    /// Address of the PostgreSQL protocol port.
    pub address: SocketAddr,
    /// Data centre that the instance is in.
    pub data_centre: String,
    /// Maximum number of statements that run concurrently on the instance.
    pub slots: u16,
    /// Maximum number of connections to the instance, including monitor connections.
    pub connections: u16,
}
