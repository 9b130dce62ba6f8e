//! The key-value service.

use std::time::Instant;

use crate::{Entry, StoreError, SwapOutcome};

/// A key-value service with compare-and-swap and watches. Calls block until they are answered or
/// their deadline has passed.
pub trait KeyValueStore {
    /// Greatest size of a value. The platform's service takes values of up to a megabyte.
    const MAX_VALUE_BYTES: usize = 1 << 20;

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// The call failed; a read has no effect.
    fn get(&self, key: &str, deadline: Instant) -> Result<Entry, StoreError>;

    /// Waits until the index of a key differs from `index`, and reads the key. If nothing changes
    /// before the deadline, the entry has the same index.
    ///
    /// # Errors
    ///
    /// The call failed; a read has no effect.
    fn watch(&self, key: &str, index: u64, deadline: Instant) -> Result<Entry, StoreError>;

    /// Writes a key if its index is still `index`; 0 means that the key must not exist.
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

    /// Removes a key if it exists.
    ///
    /// # Errors
    ///
    /// The call failed; [`StoreError::effect`] tells whether it may have taken effect.
    fn remove(&self, key: &str, deadline: Instant) -> Result<(), StoreError>;
}
