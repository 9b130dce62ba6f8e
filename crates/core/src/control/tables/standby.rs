//! Standbys of owned databases.

use crate::HostId;

/// Standby named in the ownership record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Standby {
    pub(crate) host: HostId,
    /// Epoch reserved for its takeover.
    pub(crate) epoch: u32,
    /// Incarnation of the standby's process when the record was written. A restarted process does
    /// not know whether its predecessor used the reserved epoch, so it no longer counts as the
    /// standby.
    pub(crate) incarnation: u64,
}
