//! Entries of the key-value API.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::Entry;

/// An entry as `GET /v1/kv/KEY` reports it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct KvEntry {
    modify_index: u64,
    value: Option<String>,
}

impl KvEntry {
    /// Decodes the value; a message if it is not base64.
    pub(super) fn into_entry(self) -> Result<Entry, String> {
        let text = self.value.unwrap_or_default();
        let value = STANDARD.decode(text).map_err(|error| format!("value: {error}"))?;
        Ok(Entry { index: self.modify_index, value: Some(value) })
    }
}
