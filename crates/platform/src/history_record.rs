//! Kept configuration documents.

use serde::{Deserialize, Serialize};

use crate::StoredConfiguration;

/// A configuration document that is kept after it has been replaced.
///
/// It is written before the document itself, so records of operators who lost the race exist too.
/// The records that were in force are those that the links from the document in force reach.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryRecord {
    /// Apply id of the document that was in force before, if any.
    pub previous_apply_id: Option<String>,
    /// The document.
    #[serde(flatten)]
    pub document: StoredConfiguration,
}
