//! The record of a replica set's instances.

use super::DirectoryRecord;

/// The record of a replica set and the state of its upkeep.
#[derive(Debug, Default)]
pub struct Directory {
    pub record: Option<DirectoryRecord>,
    /// Revision of the record in the store, 0 for none.
    pub revision: u64,
    /// What is to be recorded, and since when it is unchanged.
    pub pending: Option<(DirectoryRecord, u64)>,
    pub is_writing: bool,
    pub next_us: u64,
}
