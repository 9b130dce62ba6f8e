//! Heartbeats that proxies exchange over UDP.

use serde::{Deserialize, Serialize};

use crate::{DatabaseId, HostId};

/// A database that the sender of a heartbeat owns.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedDatabase {
    /// The database.
    pub database: DatabaseId,
    /// Ownership epoch of the sender.
    pub epoch: u32,
    /// Standby in the ownership record; `None` until the record is known to be written.
    pub standby: Option<HostId>,
    /// Epoch reserved for the standby; 0 if there is none.
    pub standby_epoch: u32,
    /// Index of the primary, which the next owner prefers if several instances are equally
    /// advanced.
    pub primary_index: Option<u8>,
}

/// A recent change of ownership that the sender has learned of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipUpdate {
    /// The database.
    pub database: DatabaseId,
    /// Host that owns the database now.
    pub owner: HostId,
    /// Ownership epoch of that host.
    pub epoch: u32,
}

/// Periodic liveness message of a proxy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Host that sent the heartbeat.
    pub host: HostId,
    /// Identifies the run of the sender's process; later runs have higher values.
    pub incarnation: u64,
    /// Increases with each heartbeat of an incarnation. Datagrams that arrive out of order are
    /// dropped.
    pub sequence: u64,
    /// Version of the sender's current configuration.
    pub configuration_version: u64,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Databases that the sender owns.
    pub owned: Vec<OwnedDatabase>,
    /// Recent ownership changes that the sender has learned of.
    pub updates: Vec<OwnershipUpdate>,
    /// Hosts from which the sender received a heartbeat within the last 300 ms.
    pub heard: Vec<HostId>,
}
