//! Configuration documents in the store.

use serde::{Deserialize, Serialize};

/// The configuration document as the store holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredConfiguration {
    /// Version, from 1.
    pub version: u64,
    /// Random identity of the apply that wrote the document, to resolve lost answers.
    pub apply_id: String,
    /// Who applied it.
    pub applied_by: String,
    /// When it was applied, seconds since 1970 by the operator's clock.
    pub applied_at_unix_s: u64,
    /// The service file.
    pub text: String,
}
