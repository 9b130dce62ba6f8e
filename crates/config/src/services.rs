//! Parsing and canonical text of service files.

mod canonical_section;
mod database;
mod instance;
mod named_section;
mod rank;
mod section_index;
mod service;
mod text;

use flamingorock_core::configuration::Configuration;

use crate::document::Document;
use crate::{ConfigError, ConfigErrors};
use section_index::SectionIndex;

pub use canonical_section::CanonicalSection;
pub use text::{services_sections, services_text};

/// Maximum size of a service file. The store accepts values of up to 1 MB, and the text grows when
/// it is encoded as JSON.
const MAX_BYTES: usize = 512 * 1024;

/// Parses and validates a service file. `file` is the file name used in errors; `version` becomes
/// the version of the configuration.
///
/// # Errors
///
/// Returns all errors found in the text.
pub fn parse_services(text: &str, file: &str, version: u64) -> Result<Configuration, ConfigErrors> {
    let mut errors = Vec::new();
    if text.len() > MAX_BYTES {
        let found = format!("{} bytes", text.len());
        let allowed = format!("at most {MAX_BYTES} bytes");
        errors.push(ConfigError::in_file(file, 0, &found, &allowed));
    }
    let configuration = Document::parse(text, file, &mut errors)
        .and_then(|document| read_configuration(&document, version, &mut errors));
    ConfigErrors::ok_or_sorted(errors, configuration)
}

fn read_configuration(
    document: &Document,
    version: u64,
    errors: &mut Vec<ConfigError>,
) -> Option<Configuration> {
    let index = SectionIndex::build(document, errors);
    if index.services.is_empty() {
        let allowed = "at least one section [service NAME]";
        errors.push(ConfigError::in_file(&document.file, 0, "no service", allowed));
    }
    let services: Vec<_> =
        index.services.iter().map(|named| service::read(&index, named, errors)).collect();
    rank::report_unlisted_ranks(&index, errors);
    let databases: Vec<_> =
        index.databases.iter().map(|named| database::read(&index, named, errors)).collect();
    database::report_id_collisions(&index, errors);
    instance::report_unknown_databases(&index, errors);
    instance::report_duplicate_addresses(&index, errors);
    let services = services.into_iter().collect::<Option<_>>()?;
    let mut databases = databases.into_iter().collect::<Option<Vec<_>>>()?;
    databases.sort_by_key(|database| database.id);
    Some(Configuration { version, services, databases })
}
