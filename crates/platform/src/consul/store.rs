//! Key-value store over the Consul HTTP API.

use std::time::Instant;

use serde::de::DeserializeOwned;
use ureq::http::Method;

use super::client::Client;
use super::kv_entry::KvEntry;
use super::response::ConsulResponse;
use crate::{Entry, KeyValueStore, StoreError, SwapOutcome};

/// [`KeyValueStore`] backed by the Consul key-value HTTP API. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    client: Client,
}

impl ConsulStore {
    /// Creates a client for the service at `http://IP:PORT`. It connects on the first call.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self { client: Client::new(url) }
    }

    /// Reads a key. Also returns the `X-Consul-Index` of the response.
    fn read(&self, path: &str, deadline: Instant) -> Result<(Entry, u64), StoreError> {
        let response = self.client.call(Method::GET, path, &[], deadline)?;
        let entries: Vec<KvEntry> = self.decode_list(&response)?;
        let entry = match entries.into_iter().next() {
            Some(entry) => entry.into_entry().map_err(|reason| self.client.no_response(&reason))?,
            None => Entry::default(),
        };
        Ok((entry, response.consul_index))
    }

    /// Decodes a JSON list. A 404 response, for a key that does not exist, is an empty list.
    fn decode_list<T: DeserializeOwned>(
        &self,
        response: &ConsulResponse,
    ) -> Result<Vec<T>, StoreError> {
        if response.status == 404 {
            return Ok(Vec::new());
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| self.client.no_response(&error.to_string()))
    }

    /// Decodes the response to a write: `true` or `false`.
    fn decode_bool(&self, response: &ConsulResponse) -> Result<bool, StoreError> {
        match response.body.trim_ascii() {
            b"true" if response.status == 200 => Ok(true),
            b"false" if response.status == 200 => Ok(false),
            _ => Err(self.client.no_response("neither true nor false")),
        }
    }
}

impl KeyValueStore for ConsulStore {
    fn get(&self, key: &str, deadline: Instant) -> Result<Entry, StoreError> {
        Ok(self.read(&path(key)?, deadline)?.0)
    }

    fn watch(&self, key: &str, index: u64, deadline: Instant) -> Result<Entry, StoreError> {
        let path = path(key)?;
        // A key that does not exist has no modification index to wait on. Consul reports an index
        // for the missing key in `X-Consul-Index`, so wait on that one.
        let wait_index = if index == 0 {
            let (entry, consul_index) = self.read(&path, deadline)?;
            if entry.index != 0 {
                return Ok(entry);
            }
            consul_index.max(1)
        } else {
            index
        };
        // Consul extends the wait by up to 1/16; the rest is left for the response.
        let remaining = deadline.saturating_duration_since(Instant::now());
        let wait_ms = (remaining.as_millis() * 3 / 4).max(1);
        let path = format!("{path}?index={wait_index}&wait={wait_ms}ms");
        Ok(self.read(&path, deadline)?.0)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        index: u64,
        value: &[u8],
        deadline: Instant,
    ) -> Result<SwapOutcome, StoreError> {
        if value.len() > Self::MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                key: key.to_owned(),
                size_bytes: value.len(),
                limit_bytes: Self::MAX_VALUE_BYTES,
            });
        }
        let path = format!("{}?cas={index}", path(key)?);
        let response = self.client.call(Method::PUT, &path, value, deadline)?;
        Ok(if self.decode_bool(&response)? { SwapOutcome::Swapped } else { SwapOutcome::Conflict })
    }

    fn list(&self, prefix: &str, deadline: Instant) -> Result<Vec<String>, StoreError> {
        let path = format!("{}?keys=true", path(prefix)?);
        let response = self.client.call(Method::GET, &path, &[], deadline)?;
        let mut keys: Vec<String> = self.decode_list(&response)?;
        keys.sort_unstable();
        Ok(keys)
    }

    fn remove(&self, key: &str, deadline: Instant) -> Result<(), StoreError> {
        let response = self.client.call(Method::DELETE, &path(key)?, &[], deadline)?;
        self.decode_bool(&response).map(|_| ())
    }
}

/// URL path of a key. Characters that would need escaping are rejected; the fleet uses none in its
/// keys.
fn path(key: &str) -> Result<String, StoreError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'/');
    if key.is_empty() || !key.bytes().all(is_allowed) {
        return Err(StoreError::InvalidKey { key: key.to_owned() });
    }
    Ok(format!("/v1/kv/{key}"))
}
