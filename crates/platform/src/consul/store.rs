//! The key-value API.

use std::time::Instant;

use serde::de::DeserializeOwned;
use ureq::http::Method;

use super::answer::Answer;
use super::client::Client;
use super::kv_entry::KvEntry;
use crate::{Entry, KeyValueStore, StoreError, SwapOutcome};

/// Client of the Consul key-value HTTP API. Clones share their connections.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    client: Client,
}

impl ConsulStore {
    /// Creates a client of the service at `http://IP:PORT`. Nothing is connected yet.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self { client: Client::new(url) }
    }

    fn read(&self, path: &str, deadline: Instant) -> Result<(Entry, u64), StoreError> {
        let answer = self.client.call(Method::GET, path, &[], deadline)?;
        let entries: Vec<KvEntry> = self.decode(&answer)?;
        let entry = match entries.into_iter().next() {
            Some(entry) => entry.into_entry().map_err(|reason| self.client.no_answer(&reason))?,
            None => Entry::default(),
        };
        Ok((entry, answer.consul_index))
    }

    /// Reads a JSON list; a key that does not exist is an empty one.
    fn decode<T: DeserializeOwned>(&self, answer: &Answer) -> Result<Vec<T>, StoreError> {
        if answer.status == 404 {
            return Ok(Vec::new());
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.client.no_answer(&error.to_string()))
    }

    /// Reads the answer to a write: `true` or `false`.
    fn decode_bool(&self, answer: &Answer) -> Result<bool, StoreError> {
        match answer.body.trim_ascii() {
            b"true" if answer.status == 200 => Ok(true),
            b"false" if answer.status == 200 => Ok(false),
            _ => Err(self.client.no_answer("neither true nor false")),
        }
    }
}

impl KeyValueStore for ConsulStore {
    fn get(&self, key: &str, deadline: Instant) -> Result<Entry, StoreError> {
        Ok(self.read(&path(key)?, deadline)?.0)
    }

    fn watch(&self, key: &str, index: u64, deadline: Instant) -> Result<Entry, StoreError> {
        let path = path(key)?;
        // A key that does not exist has no index to wait for; the service waits for the index that
        // it reports with the answer.
        let wait_index = if index == 0 {
            let (entry, consul_index) = self.read(&path, deadline)?;
            if entry.index != 0 {
                return Ok(entry);
            }
            consul_index.max(1)
        } else {
            index
        };
        // The service adds up to a sixteenth to the wait; the rest is left for the answer.
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
        let answer = self.client.call(Method::PUT, &path, value, deadline)?;
        Ok(if self.decode_bool(&answer)? { SwapOutcome::Swapped } else { SwapOutcome::Conflict })
    }

    fn list(&self, prefix: &str, deadline: Instant) -> Result<Vec<String>, StoreError> {
        let path = format!("{}?keys=true", path(prefix)?);
        let answer = self.client.call(Method::GET, &path, &[], deadline)?;
        let mut keys: Vec<String> = self.decode(&answer)?;
        keys.sort_unstable();
        Ok(keys)
    }

    fn remove(&self, key: &str, deadline: Instant) -> Result<(), StoreError> {
        let answer = self.client.call(Method::DELETE, &path(key)?, &[], deadline)?;
        self.decode_bool(&answer).map(|_| ())
    }
}

/// Path of a key. Other characters would have to be escaped, and no key of the fleet has any.
fn path(key: &str) -> Result<String, StoreError> {
    let known = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'/');
    if key.is_empty() || !key.bytes().all(known) {
        return Err(StoreError::InvalidKey { key: key.to_owned() });
    }
    Ok(format!("/v1/kv/{key}"))
}
