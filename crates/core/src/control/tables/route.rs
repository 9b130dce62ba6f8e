//! Ownership of a database as known to this host.

use super::Reservation;
use crate::HostId;
use crate::control::OwnerRecord;

/// Ownership of a database as known to this host.
#[derive(Debug)]
pub(crate) struct Route {
    /// Owner under `epoch`; `None` if unknown.
    pub(crate) owner: Option<HostId>,
    /// Highest owner epoch seen for the database, 0 before the first.
    pub(crate) epoch: u32,
    /// Last known standby.
    pub(crate) standby: Option<HostId>,
    /// Index of the primary that an owner announced last.
    pub(crate) primary_index: Option<u8>,
    /// Present only if this host is the standby.
    pub(crate) reservation: Option<Reservation>,
    /// Since when the owner's heartbeats have omitted the database.
    pub(crate) omitted_since_us: Option<u64>,
    /// Since when the database has had no known live owner.
    pub(crate) unowned_since_us: Option<u64>,
    /// Whether the record has been read since the owner became unknown.
    pub(crate) is_record_read: bool,
    /// Number of times that this host has lost the database to another owner since it last received
    /// a heartbeat in which the owner lists the database.
    pub(crate) ownership_losses: u32,
    /// Whether a call for the ownership record is queued or in flight.
    pub(crate) has_record_call: bool,
    /// Record that this host last tried to write. If the response is lost, the record is read back
    /// and compared with this one.
    pub(crate) proposed_record: Option<OwnerRecord>,
}

impl Route {
    pub(crate) fn new() -> Self {
        Self {
            owner: None,
            epoch: 0,
            standby: None,
            primary_index: None,
            reservation: None,
            omitted_since_us: None,
            unowned_since_us: None,
            is_record_read: false,
            ownership_losses: 0,
            has_record_call: false,
            proposed_record: None,
        }
    }
}
