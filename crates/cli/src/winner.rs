//! Documents that won a race.

use core::fmt;

use flamingorock_platform::StoredConfiguration;
use serde::Serialize;

use crate::table::time_text;

/// The document that is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Winner {
    /// Its version.
    pub version: u64,
    /// Who applied it.
    pub applied_by: String,
    /// When it was applied, by that operator's clock.
    pub applied_at_unix_s: u64,
    /// Identity of the apply.
    pub apply_id: String,
}

impl From<&StoredConfiguration> for Winner {
    fn from(document: &StoredConfiguration) -> Self {
        Self {
            version: document.version,
            applied_by: document.applied_by.clone(),
            applied_at_unix_s: document.applied_at_unix_s,
            apply_id: document.apply_id.clone(),
        }
    }
}

impl fmt::Display for Winner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = time_text(self.applied_at_unix_s);
        write!(f, "version {}, applied by {} at {time}", self.version, self.applied_by)
    }
}
