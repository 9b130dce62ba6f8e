//! Items of the store.

use bytes::Bytes;

use super::{DirectoryRecord, MemberRecord, MembershipRecord, PromotionRecord};
use crate::{Configuration, InstanceEntry};

/// Key of an item, by what the item is about.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StoreKey {
    /// The operators' configuration.
    Configuration,
    /// Entry of the instance with this id.
    Instance(Bytes),
    /// Member record of the proxy with this name.
    Member(Bytes),
    /// Promotion record of the replica set with this name.
    Promotion(Bytes),
    /// Directory record of the replica set with this name.
    Directory(Bytes),
    /// The agreed membership of the fleet.
    Membership,
    /// A key that proxies do not read.
    Other,
}

/// Decoded content of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreContent {
    /// The operators' configuration.
    Configuration(Configuration),
    /// Entry of an instance.
    Instance(InstanceEntry),
    /// Member record of a proxy.
    Member(MemberRecord),
    /// Promotion record of a replica set.
    Promotion(PromotionRecord),
    /// Directory record of a replica set.
    Directory(DirectoryRecord),
    /// The agreed membership of the fleet.
    Membership(MembershipRecord),
    /// The item was deleted.
    Removed,
    /// The item cannot be decoded.
    Unreadable {
        /// Why decoding failed.
        reason: String,
    },
}

/// An item at a certain revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// What the item is about.
    pub key: StoreKey,
    /// Revision of the store at the item's last change.
    pub revision: u64,
    /// Decoded value, or its absence.
    pub content: StoreContent,
}
