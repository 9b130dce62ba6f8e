//! Key-value pairs of a section.

/// A key with its unparsed value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Line number, starting at 1.
    pub(crate) line: usize,
    /// Key, as written in the file.
    pub(crate) key: String,
    /// Value without surrounding white space and comment.
    pub(crate) value: String,
}
