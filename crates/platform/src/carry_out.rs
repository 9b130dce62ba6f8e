//! Calls of the control machine.

use std::time::Instant;

use flamingorock_core::DatabaseId;
use flamingorock_core::control::{OwnerRecord, StoreOperation, StoreResponse};

use crate::{Indexed, KeyValueStore, Keys, StoreError, StoredConfiguration, Swap, documents};

/// Carries out a call of the control machine. `name_of` finds the name of a database in the
/// configuration in force. Every error is [`StoreResponse::Failed`].
pub fn carry_out<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    operation: &StoreOperation,
    name_of: impl Fn(DatabaseId) -> Option<String>,
    deadline: Instant,
) -> StoreResponse {
    try_carry_out(store, keys, operation, name_of, deadline).unwrap_or(StoreResponse::Failed)
}

/// Like [`carry_out`], but keeps the error for a log line. A database without a name is answered
/// with [`StoreResponse::Failed`].
///
/// # Errors
///
/// The call failed; it may have taken effect.
pub fn try_carry_out<S: KeyValueStore>(
    store: &S,
    keys: &Keys,
    operation: &StoreOperation,
    name_of: impl Fn(DatabaseId) -> Option<String>,
    deadline: Instant,
) -> Result<StoreResponse, StoreError> {
    match operation {
        StoreOperation::GetConfiguration => {
            documents::read_configuration(store, keys, deadline).map(configuration_answer)
        }
        StoreOperation::WatchConfiguration { index } => {
            documents::watch_configuration(store, keys, *index, deadline).map(configuration_answer)
        }
        StoreOperation::GetOwner { database } => match name_of(*database) {
            Some(name) => documents::read_owner(store, keys, &name, deadline).map(owner_answer),
            None => Ok(StoreResponse::Failed),
        },
        StoreOperation::CompareAndSwapOwner { database, index, record } => {
            match name_of(*database) {
                Some(name) => documents::swap_owner(store, keys, &name, *index, record, deadline)
                    .map(|swap| match swap {
                        Swap::Done => StoreResponse::Swapped,
                        Swap::Conflict => StoreResponse::Conflict,
                    }),
                None => Ok(StoreResponse::Failed),
            }
        }
    }
}

fn configuration_answer(read: Indexed<StoredConfiguration>) -> StoreResponse {
    let document = read.value.map(|document| (document.version, document.text));
    StoreResponse::Configuration { index: read.index, document }
}

fn owner_answer(read: Indexed<OwnerRecord>) -> StoreResponse {
    StoreResponse::Owner { index: read.index, record: read.value }
}
