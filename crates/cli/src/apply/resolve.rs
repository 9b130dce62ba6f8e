//! Compare-and-swap of the document with a known outcome.

use flamingorock_platform::{Effect, KeyValueStore, StoredConfiguration, SwapOutcome, documents};

use crate::store_commands::walk;
use crate::{Failure, StoreClient, Winner};

/// What the store says about an apply.
enum Finding {
    /// The document came into force, and may have been replaced since.
    Applied { superseded_by: Option<Winner> },
    /// Another document came into force instead.
    Lost { winner: Option<Winner> },
    /// The index has not changed: the write has not taken effect yet, but may still do so.
    Pending,
}

/// Writes the document if the index is still the one that was read. A lost answer is resolved by
/// reading back and comparing the apply id. While the index is unchanged the write is repeated: at
/// most one of the writes can take effect, and all of them mean the same. Returns a document that
/// has replaced this one already.
pub(super) fn swap<S: KeyValueStore>(
    client: &StoreClient<S>,
    index: u64,
    document: &StoredConfiguration,
) -> Result<Option<Winner>, Failure> {
    let (store, keys) = (&client.store, &client.keys);
    let mut reason = String::new();
    let mut sent = false;
    for made in 1..=client.attempts {
        match documents::swap_configuration(store, keys, index, document, client.deadline()) {
            Ok(SwapOutcome::Swapped) => return Ok(None),
            Ok(SwapOutcome::Conflict) if !sent => {
                let winner = client.read().ok().and_then(|read| read.value);
                return Err(Failure::LostRace { winner: winner.as_ref().map(Winner::from) });
            }
            Ok(SwapOutcome::Conflict) => {}
            Err(error) if error.effect() == Effect::None && !sent => {
                return Err(Failure::without_effect(&error));
            }
            Err(error) => {
                sent = true;
                reason = error.to_string();
            }
        }
        match find(client, index, document) {
            Ok(Finding::Applied { superseded_by }) => return Ok(superseded_by),
            Ok(Finding::Lost { winner }) => return Err(Failure::LostRace { winner }),
            Ok(Finding::Pending) => {}
            Err(failure) => reason = format!("reading back failed: {}", failure.reason()),
        }
        if made < client.attempts {
            client.wait(made);
        }
    }
    let (version, apply_id) = (document.version, &document.apply_id);
    Err(Failure::Unknown {
        reason: format!(
            "{reason}; the apply took effect if the history shows apply id {apply_id} as \
             version {version}"
        ),
    })
}

/// Reads back what became of the write.
fn find<S: KeyValueStore>(
    client: &StoreClient<S>,
    index: u64,
    document: &StoredConfiguration,
) -> Result<Finding, Failure> {
    let read = client.read()?;
    if read.index == index {
        return Ok(Finding::Pending);
    }
    let Some(in_force) = read.value else { return Ok(Finding::Lost { winner: None }) };
    let winner = Winner::from(&in_force);
    if in_force.version <= document.version {
        let applied = in_force.apply_id == document.apply_id;
        return Ok(if applied {
            Finding::Applied { superseded_by: None }
        } else {
            Finding::Lost { winner: Some(winner) }
        });
    }
    // Later documents came into force; one of them names this one if it did too.
    let mut same_version = None;
    walk(client, &in_force, |older| {
        if older.version == document.version {
            same_version = Some(older.apply_id == document.apply_id);
        }
        older.version > document.version
    })?;
    match same_version {
        Some(true) => Ok(Finding::Applied { superseded_by: Some(winner) }),
        Some(false) => Ok(Finding::Lost { winner: Some(winner) }),
        None => Err(Failure::Unknown {
            reason: format!("{winner} is in force, and version {} is not kept", document.version),
        }),
    }
}
