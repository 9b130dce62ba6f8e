//! Entries of a section.

/// A key with its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Line of the key.
    pub(crate) line: usize,
    /// The key.
    pub(crate) key: String,
    /// The value without surrounding white space.
    pub(crate) value: String,
}
