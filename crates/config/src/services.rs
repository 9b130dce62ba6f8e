//! Service files.

mod canonical_section;
mod database;
mod index;
mod instance;
mod named;
mod rank;
mod service;
mod text;

use flamingorock_core::configuration::Configuration;

use crate::document::Document;
use crate::{ConfigError, ConfigErrors};
use index::Index;

pub use canonical_section::CanonicalSection;
pub use text::{services_sections, services_text};

/// Bound on the size of a service file. The store takes values of up to a megabyte, and the JSON
/// form of the text is longer than the text.
const MAX_BYTES: usize = 512 * 1024;

/// Reads and checks a service file. `file` is the name given in errors, `version` the version that
/// the configuration gets.
///
/// # Errors
///
/// All errors of the text.
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
    let index = Index::build(document, errors);
    if index.services.is_empty() {
        let allowed = "at least one section [service NAME]";
        errors.push(ConfigError::in_file(&document.file, 0, "no service", allowed));
    }
    let services: Vec<_> =
        index.services.iter().map(|named| service::read(&index, named, errors)).collect();
    rank::report_unlisted(&index, errors);
    let databases: Vec<_> =
        index.databases.iter().map(|named| database::read(&index, named, errors)).collect();
    database::report_collisions(&index, errors);
    instance::report_dangling(&index, errors);
    instance::report_clashes(&index, errors);
    let services = services.into_iter().collect::<Option<_>>()?;
    let mut databases = databases.into_iter().collect::<Option<Vec<_>>>()?;
    databases.sort_by_key(|database| database.id);
    Some(Configuration { version, services, databases })
}
