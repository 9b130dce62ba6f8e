//! Sections with the parts of their names.

use crate::section::Section;

/// A section with the parts of its name.
#[derive(Clone, Copy, Debug)]
pub(super) struct Named<'a> {
    /// The service of a rank or the database of an instance, else empty.
    pub(super) parent: &'a str,
    /// The last part of the name.
    pub(super) name: &'a str,
    /// The section.
    pub(super) section: &'a Section,
}
