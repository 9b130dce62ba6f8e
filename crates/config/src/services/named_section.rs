//! Sections with their names split into parts.

use crate::section::Section;

/// A section with its name split into parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedSection<'a> {
    /// Service of a rank or database of an instance; empty for services and databases.
    pub(super) parent: &'a str,
    /// Last part of the section name, such as `a` in `instance ledger-1/a`.
    pub(super) name: &'a str,
    /// Section with the full name and the entries.
    pub(super) section: &'a Section,
}
