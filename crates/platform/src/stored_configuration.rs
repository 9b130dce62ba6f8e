//! Stored form of the configuration document.

use serde::{Deserialize, Serialize};

/// The configuration document, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredConfiguration {
    /// Version number; the first document has 1 and each apply adds 1.
    pub version: u64,
    /// Random id of the apply that wrote the document. If the response to the write is lost,
    /// reading this id back shows whether the write took effect.
    pub apply_id: String,
    /// Operator who applied the document.
    pub applied_by: String,
    /// Time of the apply in Unix seconds, by the operator's clock.
    pub applied_at_unix_s: u64,
    /// Text of the service file.
    pub text: String,
}
