//! Authentication key of the admin port.

use core::fmt;

/// Authentication key of the admin port. `Debug` hides it to keep it out of logs.
#[derive(Clone, Eq, PartialEq)]
pub struct AdminKey(String);

impl AdminKey {
    pub(super) fn new(key: String) -> Self {
        Self(key)
    }

    /// Returns the key in clear text.
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
