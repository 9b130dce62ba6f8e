//! Standbys of owned databases.

use crate::HostId;

/// Standby that the written ownership record names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Standby {
    pub(crate) host: HostId,
    pub(crate) epoch: u32,
    /// Incarnation of the standby's process when it was named. A restarted process has forgotten
    /// whether it used the reserved epoch, so it is not the standby any more.
    pub(crate) incarnation: u64,
}
