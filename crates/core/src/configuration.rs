//! The configuration that operators apply, in its parsed and validated form.
//!
//! Parsing and validation are in the crate `flamingorock-config`.

mod database;
mod durability;
mod instance;
mod rank;
mod service;

pub use database::Database;
pub use durability::Durability;
pub use instance::Instance;
pub use rank::Rank;
pub use service::Service;

use crate::{DatabaseId, InstanceId};

/// A complete configuration. It is immutable; a change replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version that the store assigned to the document; 0 until the first document is loaded.
    pub version: u64,
    /// Services in document order.
    pub services: Vec<Service>,
    /// Databases of all services, sorted by `id`.
    pub databases: Vec<Database>,
}

impl Configuration {
    /// Looks up a database by its identifier.
    #[must_use]
    pub fn database(&self, id: DatabaseId) -> Option<&Database> {
        let index = self.databases.binary_search_by_key(&id, |database| database.id).ok()?;
        Some(&self.databases[index])
    }

    /// Looks up a database by its name.
    #[must_use]
    pub fn database_named(&self, name: &str) -> Option<&Database> {
        self.database(DatabaseId::from_name(name)).filter(|database| database.name == name)
    }

    /// The service that contains a database of this configuration.
    #[must_use]
    pub fn service_of(&self, database: &Database) -> &Service {
        &self.services[database.service_index]
    }

    /// Looks up an instance by its identifier.
    #[must_use]
    pub fn instance(&self, id: InstanceId) -> Option<&Instance> {
        self.database(id.database)?.instances.get(usize::from(id.index))
    }
}
