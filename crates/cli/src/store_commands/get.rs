//! `get`.

use flamingorock_config::{parse_services, services_text};
use flamingorock_platform::{KeyValueStore, StoredConfiguration};

use super::history::walk;
use crate::{Failure, StoreClient};

/// Reads the document in force or a kept one. Its text is the canonical one unless `raw` is set.
///
/// # Errors
///
/// The store cannot be read, it does not hold the version, or the document is not valid.
pub fn get<S: KeyValueStore>(
    client: &StoreClient<S>,
    version: Option<u64>,
    raw: bool,
) -> Result<StoredConfiguration, Failure> {
    let in_force = client.read_in_force()?;
    let mut document = match version {
        Some(version) if version != in_force.version => find(client, in_force, version)?,
        _ => in_force,
    };
    if !raw {
        let name = format!("configuration version {}", document.version);
        let configuration = parse_services(&document.text, &name, document.version)?;
        document.text = services_text(&configuration);
    }
    Ok(document)
}

fn find<S: KeyValueStore>(
    client: &StoreClient<S>,
    in_force: StoredConfiguration,
    version: u64,
) -> Result<StoredConfiguration, Failure> {
    let newest = in_force.version;
    let mut found = None;
    walk(client, &in_force, |document| {
        if document.version == version {
            found = Some(document.clone());
        }
        document.version > version
    })?;
    found.ok_or_else(|| Failure::Refused {
        reason: format!("version {version} is not kept; version {newest} is in force"),
    })
}
