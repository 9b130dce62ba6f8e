//! Reserved epochs.

use crate::HostId;

/// Epoch that the owner's heartbeat reserves for this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Reservation {
    /// Owner that announced it.
    pub(crate) from: HostId,
    /// Epoch of the owner that announced it.
    pub(crate) from_epoch: u32,
    /// Epoch that this host may use once.
    pub(crate) epoch: u32,
}
