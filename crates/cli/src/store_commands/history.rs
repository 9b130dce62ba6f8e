//! `history`.

use core::fmt;

use flamingorock_platform::{KeyValueStore, StoredConfiguration, documents};
use serde::Serialize;

use crate::table::{table_text, time_text};
use crate::{Failure, StoreClient};

/// The versions that are kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HistoryReport {
    /// The versions, the newest first.
    pub versions: Vec<HistoryLine>,
}

/// A version that is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HistoryLine {
    /// The version.
    pub version: u64,
    /// When it was applied, by that operator's clock.
    pub applied_at_unix_s: u64,
    /// Who applied it.
    pub applied_by: String,
    /// Identity of the apply.
    pub apply_id: String,
}

/// Lists the documents that were in force, as far as they are kept.
///
/// # Errors
///
/// The store cannot be read, or no configuration has been applied yet.
pub fn history<S: KeyValueStore>(client: &StoreClient<S>) -> Result<HistoryReport, Failure> {
    let mut versions = Vec::new();
    walk(client, &client.read_in_force()?, |document| {
        versions.push(HistoryLine {
            version: document.version,
            applied_at_unix_s: document.applied_at_unix_s,
            applied_by: document.applied_by.clone(),
            apply_id: document.apply_id.clone(),
        });
        true
    })?;
    Ok(HistoryReport { versions })
}

/// Visits the document in force and those before it, the newest first, until `visit` returns false
/// or a document is not kept. The kept document of a version names its predecessor, so that documents
/// of applies that lost a race are never visited.
pub(crate) fn walk<S: KeyValueStore>(
    client: &StoreClient<S>,
    in_force: &StoredConfiguration,
    mut visit: impl FnMut(&StoredConfiguration) -> bool,
) -> Result<(), Failure> {
    let read = |version, apply_id: &str| {
        documents::read_history_record(
            &client.store,
            &client.keys,
            version,
            apply_id,
            client.deadline(),
        )
        .map_err(|error| Failure::without_effect(&error))
    };
    if !visit(in_force) {
        return Ok(());
    }
    let mut next = read(in_force.version, &in_force.apply_id)?;
    while let Some(record) = next {
        let (Some(apply_id), Some(version)) =
            (record.previous_apply_id, record.document.version.checked_sub(1))
        else {
            return Ok(());
        };
        next = read(version, &apply_id)?;
        if let Some(record) = &next
            && !visit(&record.document)
        {
            return Ok(());
        }
    }
    Ok(())
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ["VERSION", "APPLIED AT", "APPLIED BY", "APPLY ID"].map(str::to_owned);
        let rows: Vec<Vec<String>> = self
            .versions
            .iter()
            .map(|line| {
                vec![
                    line.version.to_string(),
                    time_text(line.applied_at_unix_s),
                    line.applied_by.clone(),
                    line.apply_id.clone(),
                ]
            })
            .collect();
        f.write_str(&table_text(&header, &rows, header.len()))
    }
}
