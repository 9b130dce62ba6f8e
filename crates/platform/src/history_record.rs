//! History of the configuration documents.

use serde::{Deserialize, Serialize};

use crate::StoredConfiguration;

/// A copy of a configuration document that stays readable after the document is replaced.
///
/// The record is written before the document, so applies that lost the compare-and-swap leave
/// records too. The documents that were in force are those found by following
/// [`previous_apply_id`](Self::previous_apply_id) back from the document in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryRecord {
    /// Apply id of the document that this one replaces; `None` for the first document.
    pub previous_apply_id: Option<String>,
    /// The document that the apply writes.
    #[serde(flatten)]
    pub document: StoredConfiguration,
}
