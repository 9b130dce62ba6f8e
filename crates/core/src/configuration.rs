//! The configuration that operators apply, as the decision core sees it.
//!
//! The text form and its validation are in the crate `flamingorock-config`.

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

/// One whole configuration. It is replaced as a whole and never changed in place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version under which the store accepted the document; 0 before the first one.
    pub version: u64,
    /// Services in the order of the document.
    pub services: Vec<Service>,
    /// Databases of all services, sorted by identity.
    pub databases: Vec<Database>,
}

impl Configuration {
    /// Finds a database by identity.
    #[must_use]
    pub fn database(&self, id: DatabaseId) -> Option<&Database> {
        let index = self.databases.binary_search_by_key(&id, |database| database.id).ok()?;
        Some(&self.databases[index])
    }

    /// Finds a database by name.
    #[must_use]
    pub fn database_named(&self, name: &str) -> Option<&Database> {
        self.database(DatabaseId::from_name(name)).filter(|database| database.name == name)
    }

    /// The service that a database belongs to.
    #[must_use]
    pub fn service_of(&self, database: &Database) -> &Service {
        &self.services[database.service_index]
    }

    /// Finds an instance.
    #[must_use]
    pub fn instance(&self, id: InstanceId) -> Option<&Instance> {
        self.database(id.database)?.instances.get(usize::from(id.index))
    }
}
