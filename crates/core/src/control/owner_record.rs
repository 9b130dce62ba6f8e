//! Ownership records of databases.

use serde::{Deserialize, Serialize};

use crate::HostId;

/// Ownership record of a database in the key-value service: its owner, and the standby that may
/// take over without a write to the service when the owner fails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    /// Host that owns the database.
    pub owner: HostId,
    /// Epoch of this ownership. Each change of owner uses a higher one.
    pub owner_epoch: u32,
    /// Standby host; absent if no other host was alive when the record was written.
    pub standby: Option<HostId>,
    /// Epoch reserved for the standby's takeover. Nobody else uses it, and it stays reserved even
    /// if there is no standby.
    pub standby_epoch: u32,
}
