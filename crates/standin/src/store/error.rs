//! Errors of the key-value service.

use displaydoc::Display;

/// Reason for which a request is refused as malformed.
#[derive(Debug, Display)]
pub(super) enum StoreError {
    /// malformed value of {name}: {value:?}
    Value {
        /// Parameter or field.
        name: String,
        /// What was found.
        value: String,
    },
    /// unknown fault {0:?}
    UnknownFault(String),
    /// malformed session options: {0}
    SessionOptions(serde_json::Error),
}

impl std::error::Error for StoreError {}

impl StoreError {
    pub(super) fn value(name: &str, value: &str) -> Self {
        Self::Value { name: name.to_owned(), value: value.to_owned() }
    }
}
