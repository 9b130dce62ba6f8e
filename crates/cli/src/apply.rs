//! `apply FILE`.

mod apply_report;
mod apply_request;
mod resolve;

use flamingorock_config::{parse_services, services_text};
use flamingorock_core::configuration::Configuration;
use flamingorock_platform::{Effect, HistoryRecord, KeyValueStore, StoredConfiguration, documents};

pub use apply_report::ApplyReport;
pub use apply_request::ApplyRequest;

use crate::{Failure, StoreClient, Winner, compare};

/// Documents that are kept, the one in force included.
const KEPT_VERSIONS: u64 = 50;

/// Applies a service file as the whole configuration, by compare-and-swap on the index that was
/// read. The outcome is known before anything is reported, as long as the store can be read.
///
/// # Errors
///
/// The file is not valid, another apply won, the store is unreachable, or the outcome is unknown.
pub fn apply<S: KeyValueStore>(
    client: &StoreClient<S>,
    request: &ApplyRequest<'_>,
) -> Result<ApplyReport, Failure> {
    let wanted = parse_services(request.text, request.file, 0)?;
    let current = client.read()?;
    let in_force = current.value.as_ref();
    let version = in_force.map_or(0, |document| document.version);
    if request.expect_version.is_some_and(|expected| expected != version) {
        return Err(unexpected_version(in_force));
    }
    // A document that this program cannot read differs from every file that it can.
    let old = in_force.and_then(|document| parse_services(&document.text, "", version).ok());
    if let (Some(document), Some(old)) = (in_force, &old)
        && services_text(old) == services_text(&wanted)
    {
        return Ok(ApplyReport::Unchanged { in_force: Winner::from(document) });
    }
    let document = request.document(version + 1);
    let previous_apply_id = in_force.map(|document| document.apply_id.clone());
    keep(client, &HistoryRecord { previous_apply_id, document: document.clone() })?;
    match resolve::swap(client, current.index, &document) {
        Ok(superseded_by) => Ok(applied(client, &document, old.as_ref(), &wanted, superseded_by)),
        Err(failure) => {
            discard(client, &document, &failure);
            Err(failure)
        }
    }
}

fn unexpected_version(in_force: Option<&StoredConfiguration>) -> Failure {
    match in_force {
        Some(document) => Failure::LostRace { winner: Some(Winner::from(document)) },
        None => Failure::Refused { reason: "no configuration has been applied yet".to_owned() },
    }
}

/// Keeps the document before it can come into force. The key belongs to this apply, so that a second
/// attempt finds either nothing or the same value.
fn keep<S: KeyValueStore>(client: &StoreClient<S>, record: &HistoryRecord) -> Result<(), Failure> {
    let mut made = 0;
    loop {
        made += 1;
        let deadline = client.deadline();
        match documents::write_history_record(&client.store, &client.keys, record, deadline) {
            Ok(_) => return Ok(()),
            Err(error) if error.effect() == Effect::None || made >= client.attempts => {
                return Err(Failure::without_effect(&error));
            }
            Err(_) => client.wait(made),
        }
    }
}

/// Removes the kept document of an apply that is known not to have taken effect. If that fails, the
/// document is removed later with those of its version.
fn discard<S: KeyValueStore>(
    client: &StoreClient<S>,
    document: &StoredConfiguration,
    failure: &Failure,
) {
    if !matches!(failure, Failure::Unknown { .. }) {
        let key = client.keys.history_record(document.version, &document.apply_id);
        drop(client.store.remove(&key, client.deadline()));
    }
}

fn applied<S: KeyValueStore>(
    client: &StoreClient<S>,
    document: &StoredConfiguration,
    old: Option<&Configuration>,
    wanted: &Configuration,
    superseded_by: Option<Winner>,
) -> ApplyReport {
    let oldest_kept = (document.version + 1).saturating_sub(KEPT_VERSIONS);
    let (store, keys) = (&client.store, &client.keys);
    let removed = documents::remove_history_below(store, keys, oldest_kept, client.deadline());
    ApplyReport::Applied {
        in_force: Winner::from(document),
        changes: compare(old, wanted),
        superseded_by,
        warning: removed.err().map(|error| format!("old versions could not be removed: {error}")),
    }
}
