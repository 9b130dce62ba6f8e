//! Heartbeats between proxies, over UDP.

use serde::{Deserialize, Serialize};

use crate::{DatabaseId, HostId};

/// A database that the sender of a heartbeat owns.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedDatabase {
    /// The database.
    pub database: DatabaseId,
    /// The sender's epoch as its owner.
    pub epoch: u32,
    /// Standby named in the ownership record, once the record is known to be written.
    pub standby: Option<HostId>,
    /// Epoch reserved for the standby; 0 without a standby.
    pub standby_epoch: u32,
    /// Index of the primary, so that the next owner prefers it on a tie.
    pub primary_index: Option<u8>,
}

/// A change of ownership that the sender has heard of lately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipUpdate {
    /// The database.
    pub database: DatabaseId,
    /// Its owner.
    pub owner: HostId,
    /// The owner's epoch.
    pub epoch: u32,
}

/// Periodic sign of life of a proxy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// Differs for each start of the sender's process and rises with time.
    pub incarnation: u64,
    /// Rises with each heartbeat of an incarnation, so that reordered datagrams are dropped.
    pub sequence: u64,
    /// Version of the configuration in force at the sender.
    pub configuration_version: u64,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Databases that the sender owns.
    pub owned: Vec<OwnedDatabase>,
    /// Ownership changes that the sender has heard of lately.
    pub updates: Vec<OwnershipUpdate>,
    /// Hosts that the sender has had a heartbeat from within the last 300 ms.
    pub heard: Vec<HostId>,
}
