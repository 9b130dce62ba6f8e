//! Outcomes of an apply.

use core::fmt;

use serde::Serialize;

use crate::{Change, Winner};

/// What an apply did.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyReport {
    /// The document came into force.
    Applied {
        /// The document.
        in_force: Winner,
        /// What it changed.
        changes: Vec<Change>,
        /// A later document that has replaced it already.
        superseded_by: Option<Winner>,
        /// Something that went wrong afterwards.
        warning: Option<String>,
    },
    /// The same configuration was in force already; nothing was written.
    Unchanged {
        /// The document in force.
        in_force: Winner,
    },
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Applied { in_force, changes, superseded_by, warning } => {
                write!(f, "applied as version {}", in_force.version)?;
                changes.iter().try_for_each(|change| write!(f, "\n{change}"))?;
                if let Some(later) = superseded_by {
                    write!(f, "\nreplaced already by {later}")?;
                }
                if let Some(warning) = warning {
                    write!(f, "\nwarning: {warning}")?;
                }
                Ok(())
            }
            Self::Unchanged { in_force } => {
                write!(f, "nothing to change: the same configuration is in force as {in_force}")
            }
        }
    }
}
