//! One error in a file.

use core::fmt;

use derive_more::Error;
use serde::Serialize;

use crate::section::Section;

/// An error in a settings or service file.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
pub struct ConfigError {
    /// Name of the file, as it was given.
    pub file: String,
    /// Line, from 1; 0 if the error concerns the file as a whole.
    pub line: usize,
    /// Section, if the error lies in one.
    pub section: Option<String>,
    /// Key, if the error concerns one.
    pub key: Option<String>,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl ConfigError {
    /// An error of a file, outside or above the sections.
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

    /// An error of a section as a whole.
    pub(crate) fn in_section(file: &str, section: &Section, found: &str, allowed: &str) -> Self {
        Self {
            section: Some(section.name.clone()),
            ..Self::in_file(file, section.line, found, allowed)
        }
    }

    /// An error of a key that the section may not have.
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
