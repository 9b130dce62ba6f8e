//! Calls to the store and the promotion service.

use bytes::Bytes;

use super::{DirectoryRecord, MemberRecord, PromotionRecord, StoreItem};

/// Condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Revision that the record must have; 0 if it must not exist.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads one page of all items.
    List {
        /// Where the page begins.
        cursor: Option<Bytes>,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The revision.
        after_revision: u64,
        /// How long the store may wait for a change.
        wait_ms: u32,
    },
    /// Reads the promotion record of a replica set.
    ReadPromotion {
        /// The replica set.
        replica_set: Bytes,
    },
    /// Writes a promotion record under a condition.
    WritePromotion {
        /// The replica set.
        replica_set: Bytes,
        /// The record.
        record: PromotionRecord,
        /// Its condition.
        condition: Condition,
    },
    /// Writes the record of a replica set's instances under a condition.
    WriteDirectory {
        /// The replica set.
        replica_set: Bytes,
        /// The record.
        record: DirectoryRecord,
        /// Its condition.
        condition: Condition,
    },
    /// Obtains a lease.
    GrantLease {
        /// Time to live.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and removes what is bound to it.
    RevokeLease {
        /// The lease.
        lease: u64,
    },
    /// Writes this proxy's record, bound to a lease.
    WriteMember {
        /// Name of the proxy.
        name: Bytes,
        /// The record.
        record: MemberRecord,
        /// The lease.
        lease: u64,
    },
}

/// Outcome of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// A page of items.
    Page {
        /// The items.
        items: Vec<StoreItem>,
        /// Revision of the store.
        as_of: u64,
        /// Where the next page begins.
        next: Option<Bytes>,
    },
    /// Changes since the revision that was asked for.
    Changes {
        /// The changes, in order.
        items: Vec<StoreItem>,
        /// Revision to go on from.
        as_of: u64,
    },
    /// The history that was asked for is gone.
    HistoryLost,
    /// One item, if it exists.
    Item(Option<StoreItem>),
    /// The write is done.
    Written {
        /// Revision of the write.
        revision: u64,
    },
    /// The condition of the write does not hold.
    Conflict {
        /// The item as it is.
        item: Option<StoreItem>,
    },
    /// The lease is granted or renewed.
    Lease {
        /// The lease; 0 if the call named it.
        lease: u64,
    },
    /// The lease has ended.
    LeaseExpired,
    /// Nothing was done.
    Rejected,
    /// Nothing is known of what was done.
    Unknown,
}

/// Answer of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreAnswer {
    /// The call.
    pub call: StoreCall,
    /// When the call was sent.
    pub sent_us: u64,
    /// What came of it.
    pub outcome: StoreOutcome,
}

/// Outcome of a promotion call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionOutcome {
    /// The promotion is under way, or the instance leads already.
    Accepted,
    /// The instance does not run.
    Refused,
    /// Nothing was done.
    Rejected,
    /// Nothing is known of what was done.
    Unknown,
}
