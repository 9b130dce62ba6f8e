//! `check FILE`.

use derive_more::Display;
use flamingorock_config::parse_services;
use serde::Serialize;

use crate::Failure;

/// A service file without errors.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display(
    "{file}: valid; services: {services}, ranks: {ranks}, databases: {databases}, \
     instances: {instances}"
)]
pub struct CheckReport {
    /// Name of the file.
    pub file: String,
    /// Number of services.
    pub services: usize,
    /// Number of ranks of all services.
    pub ranks: usize,
    /// Number of databases.
    pub databases: usize,
    /// Number of instances of all databases.
    pub instances: usize,
}

/// Checks the text of a service file.
///
/// # Errors
///
/// All errors of the text.
pub fn check(text: &str, file: &str) -> Result<CheckReport, Failure> {
    let configuration = parse_services(text, file, 0)?;
    Ok(CheckReport {
        file: file.to_owned(),
        services: configuration.services.len(),
        ranks: configuration.services.iter().map(|service| service.ranks.len()).sum(),
        databases: configuration.databases.len(),
        instances: configuration.databases.iter().map(|database| database.instances.len()).sum(),
    })
}
