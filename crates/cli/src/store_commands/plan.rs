//! `plan FILE`.

use core::fmt;

use flamingorock_config::parse_services;
use flamingorock_platform::KeyValueStore;
use serde::Serialize;

use crate::{Change, Failure, StoreClient, compare};

/// What an apply would change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlanReport {
    /// Version in force; 0 if there is none.
    pub version: u64,
    /// What an apply would change.
    pub changes: Vec<Change>,
}

/// Compares a service file with the configuration in force.
///
/// # Errors
///
/// The file is not valid, the store cannot be read, or the document in it is not valid.
pub fn plan<S: KeyValueStore>(
    client: &StoreClient<S>,
    text: &str,
    file: &str,
) -> Result<PlanReport, Failure> {
    let wanted = parse_services(text, file, 0)?;
    let Some(document) = client.read()?.value else {
        return Ok(PlanReport { version: 0, changes: compare(None, &wanted) });
    };
    let name = format!("configuration version {}", document.version);
    let in_force = parse_services(&document.text, &name, document.version)?;
    Ok(PlanReport { version: document.version, changes: compare(Some(&in_force), &wanted) })
}

impl fmt::Display for PlanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return write!(f, "no changes against version {}", self.version);
        }
        write!(f, "changes against version {}:", self.version)?;
        self.changes.iter().try_for_each(|change| write!(f, "\n{change}"))
    }
}
