//! Key of the admin port.

use core::fmt;

/// Key of the admin port. Its `Debug` form does not show it, so that it does not get into logs.
#[derive(Clone, Eq, PartialEq)]
pub struct AdminKey(String);

impl AdminKey {
    pub(super) fn new(key: String) -> Self {
        Self(key)
    }

    /// The key in clear text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for AdminKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminKey(hidden)")
    }
}
