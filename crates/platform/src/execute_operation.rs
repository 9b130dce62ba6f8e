//! Executes the store operations that the control state machine requests.

use std::time::Instant;

use flamingorock_core::DatabaseId;
use flamingorock_core::control::{OwnerRecord, StoreOperation, StoreResponse};

use crate::{
    Indexed, KeyValueStore, Keys, StoreError, StoredConfiguration, SwapOutcome, documents,
};

/// Executes a store operation for the control state machine. `name_of` looks up the name of a
/// database in the configuration in force. Every error becomes [`StoreResponse::Failed`].
pub fn execute_operation<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    operation: &StoreOperation,
    name_of: impl Fn(DatabaseId) -> Option<String>,
    deadline: Instant,
) -> StoreResponse {
    try_execute_operation(store, keys, operation, name_of, deadline)
        .unwrap_or(StoreResponse::Failed)
}

/// Like [`execute_operation`], but returns the error, so that it can be logged. A database that
/// `name_of` does not know gives [`StoreResponse::Failed`].
///
/// # Errors
///
/// The call failed. A write may have taken effect, see [`StoreError::effect`].
pub fn try_execute_operation<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    operation: &StoreOperation,
    name_of: impl Fn(DatabaseId) -> Option<String>,
    deadline: Instant,
) -> Result<StoreResponse, StoreError> {
    match operation {
        StoreOperation::GetConfiguration => {
            documents::read_configuration(store, keys, deadline).map(configuration_response)
        }
        StoreOperation::WatchConfiguration { index } => {
            documents::watch_configuration(store, keys, *index, deadline)
                .map(configuration_response)
        }
        StoreOperation::GetOwner { database } => match name_of(*database) {
            Some(name) => documents::read_owner(store, keys, &name, deadline).map(owner_response),
            None => Ok(StoreResponse::Failed),
        },
        StoreOperation::CompareAndSwapOwner { database, index, record } => {
            match name_of(*database) {
                Some(name) => documents::swap_owner(store, keys, &name, *index, record, deadline)
                    .map(|swap| match swap {
                        SwapOutcome::Swapped => StoreResponse::Swapped,
                        SwapOutcome::Conflict => StoreResponse::Conflict,
                    }),
                None => Ok(StoreResponse::Failed),
            }
        }
    }
}

fn configuration_response(read: Indexed<StoredConfiguration>) -> StoreResponse {
    let document = read.value.map(|document| (document.version, document.text));
    StoreResponse::Configuration { index: read.index, document }
}

fn owner_response(read: Indexed<OwnerRecord>) -> StoreResponse {
    StoreResponse::Owner { index: read.index, record: read.value }
}
