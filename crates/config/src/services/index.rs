//! Sections of a service file by kind.

use super::named::Named;
use crate::ConfigError;
use crate::document::Document;
use crate::section::Section;
use crate::value::{Name, ValueKind};

/// Sections of a service file by kind, in the order of the file.
#[derive(Debug)]
pub(super) struct Index<'a> {
    /// Name of the file.
    pub(super) file: &'a str,
    /// `[service NAME]`.
    pub(super) services: Vec<Named<'a>>,
    /// `[rank SERVICE/NAME]`.
    pub(super) ranks: Vec<Named<'a>>,
    /// `[database NAME]`.
    pub(super) databases: Vec<Named<'a>>,
    /// `[instance DATABASE/NAME]`.
    pub(super) instances: Vec<Named<'a>>,
}

impl<'a> Index<'a> {
    /// Sorts the sections by kind and reports those of no kind.
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
            return Err(("another form of name", format!("{form}, each {}", Name.allowed())));
        }
        list.push(Named { parent, name, section });
        Ok(())
    }
}
