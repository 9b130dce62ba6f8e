//! What an operator applies.

use flamingorock_platform::StoredConfiguration;

/// What an operator applies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyRequest<'a> {
    /// Text of the service file.
    pub text: &'a str,
    /// Name of the service file.
    pub file: &'a str,
    /// Version that must be in force; 0 means that there is none.
    pub expect_version: Option<u64>,
    /// Random identity of the apply.
    pub apply_id: String,
    /// Who applies.
    pub applied_by: String,
    /// When, seconds since 1970.
    pub applied_at_unix_s: u64,
}

impl ApplyRequest<'_> {
    /// The document that the store gets.
    pub(super) fn document(&self, version: u64) -> StoredConfiguration {
        StoredConfiguration {
            version,
            apply_id: self.apply_id.clone(),
            applied_by: self.applied_by.clone(),
            applied_at_unix_s: self.applied_at_unix_s,
            text: self.text.to_owned(),
        }
    }
}
