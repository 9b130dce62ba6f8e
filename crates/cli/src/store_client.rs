//! Calls to the store with a deadline each.

use std::time::{Duration, Instant};

use flamingorock_platform::{Indexed, KeyValueStore, Keys, StoredConfiguration, documents};

use crate::Failure;

/// A store with the names of its keys and the limits on its calls.
#[derive(Debug)]
pub struct StoreClient<S> {
    /// The store.
    pub store: S,
    /// Names of the keys.
    pub keys: Keys,
    /// Limit of one call.
    pub call_limit_ms: u64,
    /// How often a call is made before its outcome counts as unknown.
    pub attempts: u32,
    /// Pause before the second attempt; it doubles with each further one.
    pub pause_ms: u64,
}

impl<S: KeyValueStore> StoreClient<S> {
    /// Attempts unless set.
    const DEFAULT_ATTEMPTS: u32 = 5;
    /// Pause unless set; all pauses of the default attempts add up to 1.5 s.
    const DEFAULT_PAUSE_MS: u64 = 100;

    /// Creates a client.
    #[must_use]
    pub fn new(store: S, keys: Keys, call_limit_ms: u64) -> Self {
        let (attempts, pause_ms) = (Self::DEFAULT_ATTEMPTS, Self::DEFAULT_PAUSE_MS);
        Self { store, keys, call_limit_ms, attempts, pause_ms }
    }

    /// Deadline of a call that starts now.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.call_limit_ms)
    }

    /// Waits before the next attempt, `made` attempts having been made.
    pub(crate) fn wait(&self, made: u32) {
        let pause_ms = self.pause_ms * 2u64.saturating_pow(made.saturating_sub(1));
        std::thread::sleep(Duration::from_millis(pause_ms));
    }

    /// Reads the document in force.
    pub(crate) fn read(&self) -> Result<Indexed<StoredConfiguration>, Failure> {
        documents::read_configuration(&self.store, &self.keys, self.deadline())
            .map_err(|error| Failure::without_effect(&error))
    }

    /// Reads the document in force; an error if there is none.
    pub(crate) fn read_in_force(&self) -> Result<StoredConfiguration, Failure> {
        self.read()?.value.ok_or_else(|| Failure::Refused {
            reason: "no configuration has been applied yet".to_owned(),
        })
    }
}
