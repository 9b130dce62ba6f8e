//! A single error in a settings or service file.

use core::fmt;

use derive_more::Error;
use serde::Serialize;

use crate::section::Section;

/// An error in a settings or service file.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
pub struct ConfigError {
    /// Name of the file, as the caller of the parser passed it.
    pub file: String,
    /// Line number, starting at 1; 0 if the error applies to the whole file or to a missing
    /// section.
    pub line: usize,
    /// Section that contains the error; `None` for errors outside any section.
    pub section: Option<String>,
    /// Key with the error; `None` if the error applies to a whole line, section or file.
    pub key: Option<String>,
    /// Description of the invalid input, as a noun phrase after "found".
    pub found: String,
    /// Description of the valid input, as a noun phrase after "allowed:".
    pub allowed: String,
}

impl ConfigError {
    /// Creates an error without section and key. Line 0 stands for the whole file.
    pub(crate) fn in_file(file: &str, line: usize, found: &str, allowed: &str) -> Self {
        Self {
            file: file.to_owned(),
            line,
            section: None,
            key: None,
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        }
    }

    /// Creates an error for a whole section, located at its header.
    pub(crate) fn in_section(file: &str, section: &Section, found: &str, allowed: &str) -> Self {
        Self {
            section: Some(section.name.clone()),
            ..Self::in_file(file, section.line, found, allowed)
        }
    }

    /// Creates an error for a key, located at the section header if the section lacks the key.
    pub(crate) fn in_key(
        file: &str,
        section: &Section,
        key: &str,
        found: &str,
        allowed: &str,
    ) -> Self {
        Self {
            section: Some(section.name.clone()),
            key: Some(key.to_owned()),
            ..Self::in_file(file, section.line_of(key), found, allowed)
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if let Some(section) = &self.section {
            write!(f, " [{section}]")?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}:")?;
        }
        write!(f, " found {}; allowed: {}", self.found, self.allowed)
    }
}
