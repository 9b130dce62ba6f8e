//! Layout of the keys in the key-value service.

/// Builds the keys that the fleet uses. All of them start with one prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Creates the keys below `prefix`, which must not end with `/`.
    #[must_use]
    pub fn new(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into() }
    }

    /// Key of the configuration document.
    #[must_use]
    pub fn configuration(&self) -> String {
        format!("{}/config", self.prefix)
    }

    /// Key of the ownership record of a database.
    #[must_use]
    pub fn owner(&self, database_name: &str) -> String {
        format!("{}/owner/{database_name}", self.prefix)
    }

    /// Common prefix of the keys of all history records; ends with `/`.
    #[must_use]
    pub fn history_prefix(&self) -> String {
        format!("{}/history/", self.prefix)
    }

    /// Key of a history record. It contains the apply id, so that concurrent applies of the same
    /// version write different keys.
    #[must_use]
    pub fn history_record(&self, version: u64, apply_id: &str) -> String {
        format!("{}{version}/{apply_id}", self.history_prefix())
    }

    /// Version in the key of a history record; `None` for any other key.
    #[must_use]
    pub fn history_version(&self, key: &str) -> Option<u64> {
        key.strip_prefix(&self.history_prefix())?.split('/').next()?.parse().ok()
    }
}
