//! Calls to the key-value service.

use super::OwnerRecord;
use crate::DatabaseId;

/// A call to the key-value service. The I/O layer chooses the keys and encodes the values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOperation {
    /// Reads the configuration document.
    GetConfiguration,
    /// Long poll: reads the configuration document once its modification index differs from the
    /// given one, or at the call's deadline.
    WatchConfiguration {
        /// Index of the last read.
        index: u64,
    },
    /// Reads the ownership record of a database.
    GetOwner {
        /// Database of the record.
        database: DatabaseId,
    },
    /// Writes the ownership record of a database if its modification index is still the given one.
    CompareAndSwapOwner {
        /// Database of the record.
        database: DatabaseId,
        /// Expected index; 0 means that the record must not exist.
        index: u64,
        /// Record that replaces the present one.
        record: OwnerRecord,
    },
}
