//! Configuration documents.

/// An unparsed configuration document.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) text: String,
}
