//! Kinds of differences.

use serde::Serialize;

use super::KeyChange;

/// How a section differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is only in the new configuration.
    Added,
    /// It is only in the old configuration.
    Removed,
    /// It is in both, with other values.
    Changed {
        /// The keys that differ.
        keys: Vec<KeyChange>,
    },
}
