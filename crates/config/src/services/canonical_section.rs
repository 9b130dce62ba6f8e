//! Sections of the canonical text.

use core::fmt;

/// A section of the canonical text of a service file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CanonicalSection {
    /// Name between the brackets, such as `rank ledger-commun/urgent`.
    pub name: String,
    /// Keys and values in a fixed order.
    pub keys: Vec<(&'static str, String)>,
}

impl fmt::Display for CanonicalSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{}]", self.name)?;
        for (key, value) in &self.keys {
            writeln!(f, "{key} = {value}")?;
        }
        Ok(())
    }
}
