//! Parsing of `[database NAME]` sections.

use std::collections::HashMap;

use flamingorock_core::DatabaseId;
use flamingorock_core::configuration::Database;

use super::instance;
use super::named_section::NamedSection;
use super::section_index::SectionIndex;
use crate::ConfigError;
use crate::section_reader::SectionReader;
use crate::value::Name;

/// Allowed number of instances of a database; it must also be odd.
const INSTANCE_COUNT: core::ops::RangeInclusive<usize> = 3..=9;

/// Parses a database and its instances. Instances are sorted by name, so that reordering the file
/// does not change their identities.
pub(super) fn read(
    index: &SectionIndex<'_>,
    named: &NamedSection<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<Database> {
    let mut reader =
        SectionReader::new(index.file, &named.section.name, Some(named.section), errors);
    let service_index = read_service_index(index, &mut reader);
    reader.finish();
    let mut sections: Vec<_> =
        index.instances.iter().filter(|instance| instance.parent == named.name).collect();
    sections.sort_by_key(|instance| instance.name);
    if !INSTANCE_COUNT.contains(&sections.len()) || sections.len() % 2 == 0 {
        let found = format!("{} instances", sections.len());
        let allowed = "an odd number of sections [instance DATABASE/NAME], 3 to 9";
        errors.push(ConfigError::in_section(index.file, named.section, &found, allowed));
    }
    let instances: Vec<_> =
        sections.into_iter().map(|section| instance::read(index, section, errors)).collect();
    Some(Database {
        id: DatabaseId::from_name(named.name),
        name: named.name.to_owned(),
        service_index: service_index?,
        instances: instances.into_iter().collect::<Option<_>>()?,
    })
}

fn read_service_index(index: &SectionIndex<'_>, reader: &mut SectionReader<'_>) -> Option<usize> {
    let name = reader.required("service", &Name)?;
    let position = index.services.iter().position(|service| service.name == name);
    if position.is_none() {
        let names: Vec<_> = index.services.iter().map(|service| service.name).collect();
        let found = format!("\"{name}\", which is not a service of this file");
        reader.error("service", &found, &names.join(", "));
    }
    position
}

/// Reports databases with different names but the same [`DatabaseId`].
pub(super) fn report_id_collisions(index: &SectionIndex<'_>, errors: &mut Vec<ConfigError>) {
    let mut names: HashMap<DatabaseId, &str> = HashMap::new();
    for named in &index.databases {
        let id = DatabaseId::from_name(named.name);
        if let Some(other) = names.insert(id, named.name) {
            let found = format!("a name with the same identity {id} as the database {other}");
            let allowed = "names with different identities; choose another name";
            errors.push(ConfigError::in_section(index.file, named.section, &found, allowed));
        }
    }
}
