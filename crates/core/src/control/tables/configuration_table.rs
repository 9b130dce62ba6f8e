//! The configuration in force and pending updates to it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Document, StoreRateLimiter};
use crate::configuration::Configuration;
use crate::{HostId, StoreCallKey};

/// The configuration in force and the reads, fetches and parses that may replace it.
#[derive(Debug)]
pub(crate) struct ConfigurationTable {
    pub(crate) current: Arc<Configuration>,
    /// Text of the configuration in force, sent to peers that request it.
    pub(crate) text: Option<String>,
    /// Document that is being parsed.
    pub(crate) parsing: Option<Document>,
    /// Versions above the one in force that failed to parse; they are not parsed again.
    pub(crate) refused: BTreeSet<u64>,
    /// Modification index of the document in the store at the last read.
    pub(crate) store_index: Option<u64>,
    pub(crate) store_call: Option<StoreCallKey>,
    pub(crate) store_rate_limiter: StoreRateLimiter,
    /// When the document is read next if this host does not watch it.
    pub(crate) next_read_us: u64,
    /// Peer that was asked for its document, and the deadline of its response.
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

    /// Whether a document of this version is newer than those in force and being parsed, and has
    /// not been refused.
    pub(crate) fn would_accept(&self, version: u64) -> bool {
        version > self.current.version
            && !self.refused.contains(&version)
            && self.parsing.as_ref().is_none_or(|parsing| parsing.version < version)
    }
}
