//! Entries of the key-value service.

/// Value and modification index of a key; the default stands for a key that does not exist.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// Modification index, changed by each write of the key; 0 if the key does not exist.
    pub index: u64,
    /// Stored bytes; `None` if the key does not exist.
    pub value: Option<Vec<u8>>,
}
