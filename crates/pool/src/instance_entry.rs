//! Entries of instances in the platform's store.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ReplicationRole;

/// What an instance says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Identity. An address may be used by another instance later; an id may not.
    pub id: Bytes,
    /// Start of the instance; a later one under the same id has lost what the former knew.
    pub started_unix_ms: u64,
    /// Replica set that the instance belongs to.
    pub replica_set: Bytes,
    /// Address for connections.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Bytes,
    /// Statements that run at a time.
    pub slots: u32,
    /// Whether the instance will stop soon.
    pub is_leaving: bool,
    /// Role that the instance believes to have, which may be out of date.
    pub reported_role: Option<ReplicationRole>,
}
