//! Sessions with a time to live, which serve as leases.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::time::{Duration, Instant};

use serde::Deserialize;

use super::error::StoreError;

/// Body of a request that creates a session.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Options {
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: String,
}

#[derive(Debug)]
struct Session {
    /// `None` for a session that lives until it is destroyed.
    ttl: Option<Duration>,
    expires_at: Option<Instant>,
    /// Whether the keys of the session are deleted rather than released at its end.
    deletes: bool,
}

#[derive(Debug, Default)]
pub(super) struct Sessions(BTreeMap<String, Session>);

impl Sessions {
    pub(super) fn create(&mut self, body: &[u8], now: Instant) -> Result<String, StoreError> {
        let options = match body {
            [] => Options::default(),
            body => serde_json::from_slice(body).map_err(StoreError::SessionOptions)?,
        };
        let ttl = match options.ttl.as_str() {
            "" => None,
            text => {
                Some(super::parse_duration(text).ok_or_else(|| StoreError::value("TTL", text))?)
            }
        };
        let (high, low) = (random(), random());
        let id = format!(
            "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
            high >> 32,
            (high >> 16) & 0xffff,
            high & 0xffff,
            low >> 48,
            low & 0xffff_ffff_ffff
        );
        let deletes = options.behavior == "delete";
        let expires_at = ttl.map(|ttl| now + ttl);
        self.0.insert(id.clone(), Session { ttl, expires_at, deletes });
        Ok(id)
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.contains_key(id)
    }

    pub(super) fn renew(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.0.get_mut(id) else { return false };
        session.expires_at = session.ttl.map(|ttl| now + ttl);
        true
    }

    /// Removes a session; returns whether its keys are to be deleted.
    pub(super) fn destroy(&mut self, id: &str) -> Option<bool> {
        self.0.remove(id).map(|session| session.deletes)
    }

    /// Removes and returns the sessions whose time to live has passed.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<(String, bool)> {
        let expired = self.0.extract_if(.., |_, session| {
            session.expires_at.is_some_and(|expires_at| expires_at <= now)
        });
        expired.map(|(id, session)| (id, session.deletes)).collect()
    }

    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.0.values().filter_map(|session| session.expires_at).min()
    }
}

fn random() -> u64 {
    RandomState::new().hash_one(0_u8)
}
