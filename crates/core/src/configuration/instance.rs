//! Instances of a database.

use core::net::SocketAddr;

/// One instance of a replicated database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name, unique in its database.
    pub name: String,
    /// Address of the PostgreSQL protocol port.
    pub address: SocketAddr,
    /// Data centre that the instance is in.
    pub data_centre: String,
    /// Statements that run at a time.
    pub slots: u16,
    /// Connections that the instance takes, monitor connections included.
    pub connections: u16,
}
