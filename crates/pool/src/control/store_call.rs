//! Calls to the store and to the promotion service.

use bytes::Bytes;

use super::{DirectoryRecord, MemberRecord, MembershipRecord, PromotionRecord, StoreItem};

/// Condition under which a write takes place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Revision that the stored item must have; 0 if the item must not exist.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads one page of all items.
    List {
        /// Cursor that the previous page returned; `None` for the first page.
        cursor: Option<Bytes>,
    },
    /// Waits for changes after a revision (long poll).
    Watch {
        /// The last revision that the caller has seen.
        after_revision: u64,
        /// Longest time for which the store may delay its response.
        wait_ms: u32,
    },
    /// Reads the promotion record of a replica set.
    ReadPromotion {
        /// Name of the replica set.
        replica_set: Bytes,
    },
    /// Writes a promotion record conditionally.
    WritePromotion {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Record to write.
        record: PromotionRecord,
        /// Expected revision of the stored record.
        condition: Condition,
    },
    /// Writes the directory record of a replica set conditionally.
    WriteDirectory {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Record to write.
        record: DirectoryRecord,
        /// Expected revision of the stored record.
        condition: Condition,
    },
    /// Writes the membership of the fleet conditionally.
    WriteMembership {
        /// Record to write.
        record: MembershipRecord,
        /// Expected revision of the stored record.
        condition: Condition,
    },
    /// Obtains a new lease.
    GrantLease {
        /// Time to live without a renewal.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Ends a lease and deletes the items that are bound to it.
    RevokeLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Writes this proxy's member record, bound to a lease.
    WriteMember {
        /// Name of the proxy.
        name: Bytes,
        /// Record to write.
        record: MemberRecord,
        /// Id of the lease.
        lease: u64,
    },
}

/// Outcome of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// One page of items.
    Page {
        /// Items of the page.
        items: Vec<StoreItem>,
        /// Revision of the store when the page was read.
        as_of: u64,
        /// Cursor of the next page; `None` after the last one.
        next: Option<Bytes>,
    },
    /// Changes after the requested revision.
    Changes {
        /// The changed items, in the order of their revisions; empty if the wait ran out.
        items: Vec<StoreItem>,
        /// Revision from which the next watch continues.
        as_of: u64,
    },
    /// The store no longer has the changes after the requested revision.
    HistoryLost,
    /// The requested item, if it exists.
    Item(Option<StoreItem>),
    /// The write took place.
    Written {
        /// Revision of the written item.
        revision: u64,
    },
    /// The condition of the write did not hold.
    Conflict {
        /// The item in the store, if it exists.
        item: Option<StoreItem>,
    },
    /// The lease was granted or renewed.
    Lease {
        /// Id of a granted lease; 0 if the call named the lease.
        lease: u64,
    },
    /// The lease does not exist any more.
    LeaseExpired,
    /// The store rejected the call without performing it.
    Rejected,
    /// The call may or may not have been performed.
    Unknown,
}

/// A finished call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreResponse {
    /// The call as it was sent.
    pub call: StoreCall,
    /// When the call was sent.
    pub sent_us: u64,
    /// How the call ended.
    pub outcome: StoreOutcome,
}

/// Outcome of a promotion call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionOutcome {
    /// The promotion is in progress, or the instance is the primary already.
    Accepted,
    /// The instance is not running.
    Refused,
    /// The service rejected the call without performing it.
    Rejected,
    /// The call may or may not have been performed.
    Unknown,
}
