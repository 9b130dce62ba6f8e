//! What is known of the ownership of a database.

use super::Reservation;
use crate::HostId;
use crate::control::OwnerRecord;

/// What is known of the ownership of a database.
#[derive(Debug)]
pub(crate) struct Route {
    /// Owner, unless unknown.
    pub(crate) owner: Option<HostId>,
    /// Highest owner epoch seen for the database, 0 before the first.
    pub(crate) epoch: u32,
    /// Standby as far as known.
    pub(crate) standby: Option<HostId>,
    /// Primary that the owner announced last.
    pub(crate) primary_index: Option<u8>,
    /// Set if this host is the standby.
    pub(crate) reservation: Option<Reservation>,
    /// Since when the owner's heartbeats have not listed the database.
    pub(crate) omitted_since_us: Option<u64>,
    /// Since when the database has had no live owner as far as known.
    pub(crate) unowned_since_us: Option<u64>,
    /// Whether the record has been read since the owner became unknown.
    pub(crate) is_record_read: bool,
    /// How often this host has lost the database to another owner without hearing from that owner
    /// since.
    pub(crate) ownership_losses: u32,
    /// Whether a call for the record waits for its turn or for its answer.
    pub(crate) has_record_call: bool,
    /// Record that this host last tried to write. A lost answer is resolved by comparing it with
    /// the record that is read back.
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
