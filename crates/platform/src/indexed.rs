//! Typed entries.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Entry, StoreError};

/// A typed value with its modification index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Indexed<T> {
    /// Modification index; 0 if the key does not exist.
    pub index: u64,
    /// Value; `None` if the key does not exist.
    pub value: Option<T>,
}

impl<T: DeserializeOwned> Indexed<T> {
    /// Reads the JSON value of an entry.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidValue`] if the value is not what the key holds.
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

/// JSON form of a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the stored types have a JSON form")
}
