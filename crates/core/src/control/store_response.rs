//! Answers of the key-value service.

use super::OwnerRecord;

/// Answer to a call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// The configuration document.
    Configuration {
        /// Modification index of the document, 0 if there is none.
        index: u64,
        /// Version and text of the document, `None` if there is none.
        document: Option<(u64, String)>,
    },
    /// The ownership record of a database.
    Owner {
        /// Modification index of the record, 0 if there is none.
        index: u64,
        /// The record, `None` if there is none.
        record: Option<OwnerRecord>,
    },
    /// The write took effect.
    Swapped,
    /// The write found another index; nothing changed.
    Conflict,
    /// The call failed or its answer was lost; a write may have taken effect.
    Failed,
}
