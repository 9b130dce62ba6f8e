//! Names of the ranks that a caller may choose.

use std::sync::Arc;

/// Names of the ranks of a service, which the daemon takes from the configuration in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RankList {
    names: Vec<Arc<str>>,
    default_index: usize,
}

impl RankList {
    /// Creates a list from the most urgent rank on, with the index of the default rank.
    #[must_use]
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>, default_index: usize) -> Self {
        Self { names: names.into_iter().map(Arc::from).collect(), default_index }
    }

    /// Finds a rank by its exact name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Arc<str>> {
        self.names.iter().find(|rank| rank.as_ref() == name)
    }

    /// Name of the rank of callers that have not chosen one.
    #[must_use]
    pub fn default_name(&self) -> &str {
        self.names.get(self.default_index).map_or("", |name| name)
    }

    /// All names, for messages.
    #[must_use]
    pub fn joined(&self) -> String {
        self.names.join(", ")
    }
}
