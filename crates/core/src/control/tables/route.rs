//! What is known of the ownership of a database.

use crate::HostId;
use crate::control::OwnerRecord;

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
    pub(crate) denied_since_us: Option<u64>,
    /// Since when the database has had no live owner as far as known.
    pub(crate) unowned_since_us: Option<u64>,
    /// How often this host has lost the database to another owner without hearing from that owner
    /// since.
    pub(crate) losses: u32,
    /// Whether a call for the record waits for its turn or for its answer.
    pub(crate) is_record_busy: bool,
    /// Record that this host last tried to write. A lost answer is resolved by comparing it with
    /// the record that is read back.
    pub(crate) proposed: Option<OwnerRecord>,
}

impl Route {
    pub(crate) fn new() -> Self {
        Self {
            owner: None,
            epoch: 0,
            standby: None,
            primary_index: None,
            reservation: None,
            denied_since_us: None,
            unowned_since_us: None,
            losses: 0,
            is_record_busy: false,
            proposed: None,
        }
    }
}
