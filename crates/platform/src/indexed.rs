//! Entries with a decoded value.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Entry, StoreError};

/// An [`Entry`] whose value is decoded from JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Indexed<T> {
    /// Modification index; 0 if the key does not exist.
    pub index: u64,
    /// Decoded value; `None` if the key does not exist.
    pub value: Option<T>,
}

impl<T: DeserializeOwned> Indexed<T> {
    /// Decodes the JSON value of an entry. `key` is only used in the error.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidValue`] if the value is not valid JSON for `T`.
    pub(crate) fn decode(key: &str, entry: &Entry) -> Result<Self, StoreError> {
        let value = match &entry.value {
            None => None,
            Some(bytes) => Some(serde_json::from_slice(bytes).map_err(|error| {
                StoreError::InvalidValue { key: key.to_owned(), reason: error.to_string() }
            })?),
        };
        Ok(Self { index: entry.index, value })
    }
}

/// Encodes a value as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the stored types can be encoded as JSON")
}
