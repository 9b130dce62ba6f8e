//! Ownership records of databases.

use serde::{Deserialize, Serialize};

use crate::HostId;

/// Who owns a database, and who takes over without asking the store when the owner is lost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    /// The owner.
    pub owner: HostId,
    /// Epoch of the owner.
    pub owner_epoch: u32,
    /// The standby, if another host was alive when the record was written.
    pub standby: Option<HostId>,
    /// Epoch that only the standby may use. It is reserved even if there is no standby.
    pub standby_epoch: u32,
}
