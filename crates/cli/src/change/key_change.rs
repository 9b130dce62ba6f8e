//! Differences of a key.

use derive_more::Display;
use serde::Serialize;

/// A key whose value differs.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{key}: {from} -> {to}")]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Old value.
    pub from: String,
    /// New value.
    pub to: String,
}
