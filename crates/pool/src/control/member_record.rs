//! Records of proxies in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a proxy says of itself in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Address for messages between proxies.
    pub peer_address: SocketAddr,
    /// Differs with each start of the process.
    pub incarnation: u64,
}
