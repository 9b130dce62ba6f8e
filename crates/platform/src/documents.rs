//! Typed reads and writes of the values that the fleet stores, see [`Keys`].

use std::time::Instant;

use flamingorock_core::control::OwnerRecord;

use crate::indexed::encode;
use crate::{
    HistoryRecord, Indexed, KeyValueStore, Keys, StoreError, StoredConfiguration, SwapOutcome,
};

/// Reads the configuration document.
///
/// # Errors
///
/// The call failed, or the value is not a configuration document.
pub fn read_configuration<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    deadline: Instant,
) -> Result<Indexed<StoredConfiguration>, StoreError> {
    let key = keys.configuration();
    Indexed::decode(&key, &store.get(&key, deadline)?)
}

/// Waits until the modification index of the configuration document differs from `index` or the
/// deadline passes, then reads the document.
///
/// # Errors
///
/// The call failed, or the value is not a configuration document.
pub fn watch_configuration<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    index: u64,
    deadline: Instant,
) -> Result<Indexed<StoredConfiguration>, StoreError> {
    let key = keys.configuration();
    Indexed::decode(&key, &store.watch(&key, index, deadline)?)
}

/// Writes the configuration document if its modification index is still `index`; 0 means that the
/// key must not exist.
///
/// # Errors
///
/// The call failed; [`StoreError::effect`] tells whether it may have taken effect.
pub fn swap_configuration<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    index: u64,
    document: &StoredConfiguration,
    deadline: Instant,
) -> Result<SwapOutcome, StoreError> {
    store.compare_and_swap(&keys.configuration(), index, &encode(document), deadline)
}

/// Reads the ownership record of a database.
///
/// # Errors
///
/// The call failed, or the value is not an ownership record.
pub fn read_owner<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    database_name: &str,
    deadline: Instant,
) -> Result<Indexed<OwnerRecord>, StoreError> {
    let key = keys.owner(database_name);
    Indexed::decode(&key, &store.get(&key, deadline)?)
}

/// Writes the ownership record of a database if its modification index is still `index`; 0 means
/// that the key must not exist.
///
/// # Errors
///
/// The call failed; [`StoreError::effect`] tells whether it may have taken effect.
pub fn swap_owner<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    database_name: &str,
    index: u64,
    record: &OwnerRecord,
    deadline: Instant,
) -> Result<SwapOutcome, StoreError> {
    store.compare_and_swap(&keys.owner(database_name), index, &encode(record), deadline)
}

/// Reads the history record that the apply `apply_id` wrote for `version`.
///
/// # Errors
///
/// The call failed, or the value is not a history record.
pub fn read_history_record<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    version: u64,
    apply_id: &str,
    deadline: Instant,
) -> Result<Option<HistoryRecord>, StoreError> {
    let key = keys.history_record(version, apply_id);
    Ok(Indexed::decode(&key, &store.get(&key, deadline)?)?.value)
}

/// Writes a history record. Its key is unique to one apply, so repeating the write is harmless.
///
/// # Errors
///
/// The call failed; [`StoreError::effect`] tells whether it may have taken effect.
pub fn write_history_record<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    record: &HistoryRecord,
    deadline: Instant,
) -> Result<SwapOutcome, StoreError> {
    let key = keys.history_record(record.document.version, &record.document.apply_id);
    store.compare_and_swap(&key, 0, &encode(record), deadline)
}

/// Removes the history records of all versions below `version`.
///
/// # Errors
///
/// A call failed; some of the records may have been removed.
pub fn remove_history_below<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    version: u64,
    deadline: Instant,
) -> Result<(), StoreError> {
    for key in store.list(&keys.history_prefix(), deadline)? {
        if keys.history_version(&key).is_some_and(|recorded| recorded < version) {
            store.remove(&key, deadline)?;
        }
    }
    Ok(())
}
