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
    pub call_limit: Duration,
    /// How often a call is made before its outcome counts as unknown.
    pub attempts: u32,
    /// Pause before the second attempt; it doubles with each further one.
    pub pause: Duration,
}

impl<S: KeyValueStore> StoreClient<S> {
    /// Attempts unless set.
    const DEFAULT_ATTEMPTS: u32 = 5;
    /// Pause unless set; all pauses of the default attempts add up to 1.5 s.
    const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

    /// Creates a client.
    #[must_use]
    pub fn new(store: S, keys: Keys, call_limit: Duration) -> Self {
        let (attempts, pause) = (Self::DEFAULT_ATTEMPTS, Self::DEFAULT_PAUSE);
        Self { store, keys, call_limit, attempts, pause }
    }

    /// Deadline of a call that starts now.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.call_limit
    }

    /// Waits before the next attempt, `made` attempts having been made.
    pub(crate) fn wait(&self, made: u32) {
        std::thread::sleep(self.pause * 2u32.saturating_pow(made.saturating_sub(1)));
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
