//! The configuration in force and what is on its way.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Document, StoreRateLimiter};
use crate::configuration::Configuration;
use crate::{HostId, StoreCallKey};

/// The configuration in force and what is on its way.
#[derive(Debug)]
pub(crate) struct ConfigurationTable {
    pub(crate) current: Arc<Configuration>,
    /// Document of the configuration in force, kept for peers.
    pub(crate) text: Option<String>,
    /// Document that is being parsed.
    pub(crate) parsing: Option<Document>,
    /// Versions that were refused.
    pub(crate) refused: BTreeSet<u64>,
    /// Index of the document in the store as last read.
    pub(crate) store_index: Option<u64>,
    pub(crate) store_call: Option<StoreCallKey>,
    pub(crate) store_rate_limiter: StoreRateLimiter,
    /// When the document is read next unless this host watches it.
    pub(crate) next_read_us: u64,
    /// Peer that was asked for its document, and until when no other is asked.
    pub(crate) fetch: Option<(HostId, u64)>,
}

impl ConfigurationTable {
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            current: Arc::new(Configuration::default()),
            text: None,
            parsing: None,
            refused: BTreeSet::new(),
            store_index: None,
            store_call: None,
            store_rate_limiter: StoreRateLimiter::new(now_us),
            next_read_us: now_us,
            fetch: None,
        }
    }

    /// Whether a document of this version would replace what is in force or being parsed.
    pub(crate) fn would_accept(&self, version: u64) -> bool {
        version > self.current.version
            && !self.refused.contains(&version)
            && self.parsing.as_ref().is_none_or(|parsing| parsing.version < version)
    }
}
