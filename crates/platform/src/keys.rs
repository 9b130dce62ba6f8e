//! Names of keys.

/// Names of the keys that the fleet uses, below one prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Names below a prefix, which has no `/` at its end.
    #[must_use]
    pub fn new(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into() }
    }

    /// The configuration document.
    #[must_use]
    pub fn configuration(&self) -> String {
        format!("{}/config", self.prefix)
    }

    /// The ownership record of a database.
    #[must_use]
    pub fn owner(&self, database_name: &str) -> String {
        format!("{}/owner/{database_name}", self.prefix)
    }

    /// Prefix of all kept documents.
    #[must_use]
    pub fn history_prefix(&self) -> String {
        format!("{}/history/", self.prefix)
    }

    /// A kept document. Two operators who race for a version write different keys.
    #[must_use]
    pub fn history_record(&self, version: u64, apply_id: &str) -> String {
        format!("{}{version}/{apply_id}", self.history_prefix())
    }

    /// Version of the kept document under a key.
    #[must_use]
    pub fn history_version(&self, key: &str) -> Option<u64> {
        key.strip_prefix(&self.history_prefix())?.split('/').next()?.parse().ok()
    }
}
