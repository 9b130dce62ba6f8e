//! What this proxy knows about the agreed membership.

use super::MembershipRecord;

/// The newest known membership record, and how current the knowledge is.
#[derive(Debug)]
pub struct Membership {
    pub record: Option<MembershipRecord>,
    /// When this proxy learned of the record.
    pub seen_us: u64,
    /// Start of this process. What other proxies did before is unknown to it.
    pub started_us: u64,
    /// No record newer than the known one was written before this time, 0 if that is not known.
    pub covered_us: u64,
    /// The same, from this proxy's own reads of the store.
    pub read_us: u64,
    /// Revision of the item in the store, 0 if it does not exist.
    pub stored_revision: u64,
    /// Epoch of the item in the store; `None` if it does not exist or cannot be decoded.
    pub stored_epoch: Option<u64>,
    /// Since when the item in the store cannot be decoded.
    pub unreadable_since_us: Option<u64>,
    /// Whether a write is outstanding, and when the next one may be sent.
    pub is_writing: bool,
    pub next_write_us: u64,
    /// Since when the same kind of change is necessary.
    pub change_since_us: Option<u64>,
    /// Since when this proxy reaches no majority.
    pub alone_since_us: Option<u64>,
    /// When a suspended record was last resumed.
    pub resumed_us: Option<u64>,
}

impl Membership {
    pub fn new(now_us: u64) -> Self {
        Self {
            record: None,
            seen_us: 0,
            started_us: now_us,
            covered_us: 0,
            read_us: 0,
            stored_revision: 0,
            stored_epoch: None,
            unreadable_since_us: None,
            is_writing: false,
            next_write_us: 0,
            change_since_us: None,
            alone_since_us: None,
            resumed_us: None,
        }
    }

    /// Epoch of the known record, 0 if none is known.
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// The record, if decisions may be taken under it.
    pub fn active_record(&self) -> Option<&MembershipRecord> {
        self.record.as_ref().filter(|record| !record.is_suspended)
    }
}
