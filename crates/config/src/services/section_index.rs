//! Sections of a service file, grouped by kind.

use super::named_section::NamedSection;
use crate::ConfigError;
use crate::document::Document;
use crate::section::Section;
use crate::value::{Name, ValueKind};

/// Sections of a service file, grouped by kind, each group in file order.
#[derive(Debug)]
pub(super) struct SectionIndex<'a> {
    /// File name used in error messages.
    pub(super) file: &'a str,
    /// `[service NAME]` sections.
    pub(super) services: Vec<NamedSection<'a>>,
    /// `[rank SERVICE/NAME]` sections.
    pub(super) ranks: Vec<NamedSection<'a>>,
    /// `[database NAME]` sections.
    pub(super) databases: Vec<NamedSection<'a>>,
    /// `[instance DATABASE/NAME]` sections.
    pub(super) instances: Vec<NamedSection<'a>>,
}

impl<'a> SectionIndex<'a> {
    /// Groups the sections by kind. Sections of an unknown kind or with an invalid name are
    /// reported and skipped.
    pub(super) fn build(document: &'a Document, errors: &mut Vec<ConfigError>) -> Self {
        let mut index = Self {
            file: &document.file,
            services: Vec::new(),
            ranks: Vec::new(),
            databases: Vec::new(),
            instances: Vec::new(),
        };
        for section in &document.sections {
            if let Err((found, allowed)) = index.add(section) {
                errors.push(ConfigError::in_section(&document.file, section, found, &allowed));
            }
        }
        index
    }

    fn add(&mut self, section: &'a Section) -> Result<(), (&'static str, String)> {
        let (kind, path) = section.kind_and_name();
        let (list, form, nested) = match kind {
            "service" => (&mut self.services, "[service NAME]", false),
            "rank" => (&mut self.ranks, "[rank SERVICE/NAME]", true),
            "database" => (&mut self.databases, "[database NAME]", false),
            "instance" => (&mut self.instances, "[instance DATABASE/NAME]", true),
            _ => {
                let allowed = "service NAME, rank SERVICE/NAME, database NAME, \
                               instance DATABASE/NAME";
                return Err(("an unknown section", allowed.to_owned()));
            }
        };
        let (parent, name) =
            if nested { path.split_once('/').unwrap_or(("", path)) } else { ("", path) };
        let parent_valid = !nested || Name.parse(parent).is_some();
        if !parent_valid || Name.parse(name).is_none() {
            return Err(("a malformed section name", format!("{form}, each {}", Name.allowed())));
        }
        list.push(NamedSection { parent, name, section });
        Ok(())
    }
}
