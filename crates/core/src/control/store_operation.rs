//! Calls to the key-value service.

use super::OwnerRecord;
use crate::DatabaseId;

/// A call to the key-value service. Keys and the encoding of values are up to the I/O layer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOperation {
    /// Reads the configuration document.
    GetConfiguration,
    /// Waits until the index of the configuration document differs from the given one, or until the
    /// call's deadline, and reads the document.
    WatchConfiguration {
        /// Index that is known.
        index: u64,
    },
    /// Reads the ownership record of a database.
    GetOwner {
        /// The database.
        database: DatabaseId,
    },
    /// Writes the ownership record of a database if its index is still the given one.
    CompareAndSwapOwner {
        /// The database.
        database: DatabaseId,
        /// Expected index; 0 means that the record must not exist.
        index: u64,
        /// New record.
        record: OwnerRecord,
    },
}
