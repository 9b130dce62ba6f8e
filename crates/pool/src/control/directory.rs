//! Directory records of replica sets.

use super::DirectoryRecord;

/// The directory record of a replica set and the progress of writing it.
#[derive(Debug, Default)]
pub struct Directory {
    pub record: Option<DirectoryRecord>,
    /// Revision of the record in the store, 0 if there is none.
    pub revision: u64,
    /// Record to write, and the time since which it has not changed.
    pub pending: Option<(DirectoryRecord, u64)>,
    pub is_writing: bool,
    pub next_us: u64,
}
