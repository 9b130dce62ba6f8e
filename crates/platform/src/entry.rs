//! Entries of the key-value service.

/// State of a key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// Modification index; 0 if the key does not exist.
    pub index: u64,
    /// Value; `None` if the key does not exist.
    pub value: Option<Vec<u8>>,
}
