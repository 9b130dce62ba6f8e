//! Entries that instances register in the platform's store.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ReplicationRole;

/// What an instance registers about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Identity. Another instance may later use the same address, but never the same id.
    pub id: Bytes,
    /// Start time of the instance, 0 if its entry has none. A restart under the same id loses the
    /// state of the previous run.
    pub started_unix_ms: u64,
    /// Name of the replica set that the instance belongs to.
    pub replica_set: Bytes,
    /// Address that accepts connections from proxies.
    pub address: SocketAddr,
    /// Data centre that the instance runs in.
    pub data_centre: Bytes,
    /// Number of statements that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance is about to stop.
    pub is_leaving: bool,
    /// Role that the instance claims; it may be out of date. `None` if the entry does not state
    /// one.
    pub reported_role: Option<ReplicationRole>,
}
