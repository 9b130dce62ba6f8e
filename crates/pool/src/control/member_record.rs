//! Membership records in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a proxy registers about itself in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Address at which the other proxies reach it.
    pub peer_address: SocketAddr,
    /// Number that is higher with each start of the process.
    pub incarnation: u64,
}
