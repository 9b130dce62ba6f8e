//! Entries in responses of the key-value API.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::Entry;

/// One element of the response to `GET /v1/kv/KEY`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct KvEntry {
    modify_index: u64,
    value: Option<String>,
}

impl KvEntry {
    /// Decodes the base64 value. The error is the reason for a [`StoreError`](crate::StoreError).
    pub(super) fn into_entry(self) -> Result<Entry, String> {
        let text = self.value.unwrap_or_default();
        let value = STANDARD.decode(text).map_err(|error| format!("value: {error}"))?;
        Ok(Entry { index: self.modify_index, value: Some(value) })
    }
}
