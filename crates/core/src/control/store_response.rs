//! Responses of the key-value service.

use super::OwnerRecord;

/// Response to a call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// The configuration document.
    Configuration {
        /// Modification index of the entry, 0 if there is none.
        index: u64,
        /// Version and text of the document, `None` if the entry does not exist.
        document: Option<(u64, String)>,
    },
    /// The ownership record of a database.
    Owner {
        /// Modification index for a later compare-and-swap, 0 if there is no record.
        index: u64,
        /// Decoded record, `None` if the database never had an owner.
        record: Option<OwnerRecord>,
    },
    /// The compare-and-swap succeeded.
    Swapped,
    /// The compare-and-swap found another modification index and changed nothing.
    Conflict,
    /// The call failed or its response was lost. A write may or may not have taken effect.
    Failed,
}
