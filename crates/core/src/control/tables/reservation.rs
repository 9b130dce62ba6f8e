//! Reserved epochs.

use crate::HostId;

/// Epoch that an owner has reserved for this host as its standby.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Reservation {
    /// Owner whose heartbeat announced the reservation.
    pub(crate) from: HostId,
    /// Epoch of that owner; the reservation is void once a higher epoch is seen.
    pub(crate) from_epoch: u32,
    /// Epoch with which this host may take over, once.
    pub(crate) epoch: u32,
}
