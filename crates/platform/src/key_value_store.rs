//! Interface to the platform's key-value service.

use std::time::Instant;

use crate::{Entry, StoreError, SwapOutcome};

/// A key-value service with compare-and-swap and watches. A call blocks until the response arrives
/// or the deadline passes.
pub trait KeyValueStore {
    /// Maximum size of a value. The platform's service accepts values of up to 1 MiB.
    const MAX_VALUE_BYTES: usize = 1 << 20;

    /// Reads a key. A key that does not exist gives the default [`Entry`].
    ///
    /// # Errors
    ///
    /// The call failed; a read has no effect.
    fn get(&self, key: &str, deadline: Instant) -> Result<Entry, StoreError>;

    /// Waits until the modification index of a key differs from `index`, then reads the key. If
    /// nothing changes before the deadline, the returned entry still has `index`.
    ///
    /// # Errors
    ///
    /// The call failed; a read has no effect.
    fn watch(&self, key: &str, index: u64, deadline: Instant) -> Result<Entry, StoreError>;

    /// Writes a key if its modification index is still `index`; 0 means that the key must not
    /// exist.
    ///
    /// # Errors
    ///
    /// The call failed; [`StoreError::effect`] tells whether it may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        index: u64,
        value: &[u8],
        deadline: Instant,
    ) -> Result<SwapOutcome, StoreError>;

    /// Lists the keys that start with a prefix, in alphabetical order.
    ///
    /// # Errors
    ///
    /// The call failed; a read has no effect.
    fn list(&self, prefix: &str, deadline: Instant) -> Result<Vec<String>, StoreError>;

    /// Removes a key. Succeeds if the key does not exist.
    ///
    /// # Errors
    ///
    /// The call failed; [`StoreError::effect`] tells whether it may have taken effect.
    fn remove(&self, key: &str, deadline: Instant) -> Result<(), StoreError>;
}
