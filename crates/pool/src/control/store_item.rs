//! Contents of the store.

use bytes::Bytes;

use super::{DirectoryRecord, MemberRecord, PromotionRecord};
use crate::{Configuration, InstanceEntry};

/// Key of an item.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StoreKey {
    /// The operators' configuration.
    Configuration,
    /// Entry of an instance, by its id.
    Instance(Bytes),
    /// Record of a proxy, by its name.
    Member(Bytes),
    /// Record of promotions, by replica set.
    Promotion(Bytes),
    /// Record of the instances, by replica set.
    Directory(Bytes),
    /// A key that is not ours to read.
    Other,
}

/// Content of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreContent {
    /// The operators' configuration.
    Configuration(Configuration),
    /// Entry of an instance.
    Instance(InstanceEntry),
    /// Record of a proxy.
    Member(MemberRecord),
    /// Record of promotions.
    Promotion(PromotionRecord),
    /// Record of the instances of a replica set.
    Directory(DirectoryRecord),
    /// The item has been removed.
    Removed,
    /// The item cannot be used.
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// An item as it was written at a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// Key.
    pub key: StoreKey,
    /// Revision of the store at the last change.
    pub revision: u64,
    /// Content.
    pub content: StoreContent,
}
