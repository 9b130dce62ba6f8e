//! Immutable snapshots that the control thread publishes to the traffic threads.

use std::sync::Arc;

use crate::configuration::Configuration;
use crate::{DatabaseId, HostId, InstanceId, Term};

/// What the control thread knows, as far as traffic needs it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Rises with each publication.
    pub sequence: u64,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Owner of each database as far as known, sorted by database.
    pub owners: Vec<OwnerRoute>,
    /// Databases that this host owns and serves, sorted by database.
    pub served: Vec<ServedDatabase>,
    /// Instances on hosts that are leaving; they get no new work. Sorted.
    pub leaving: Vec<InstanceId>,
    /// Whether this proxy is shutting down.
    pub draining: bool,
}

/// Owner of a database as far as a proxy knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerRoute {
    /// The database.
    pub database: DatabaseId,
    /// Its owner.
    pub owner: HostId,
    /// Epoch of the owner; a higher one supersedes this entry.
    pub epoch: u32,
}

/// A database that this host owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServedDatabase {
    /// The database.
    pub database: DatabaseId,
    /// Term under which the primary was promoted.
    pub term: Term,
    /// Index of the primary among the instances; `None` while a promotion runs.
    pub primary_index: Option<u8>,
    /// Whether new work is admitted; `false` while the database is handed over.
    pub admits: bool,
}

impl View {
    /// Owner of a database as far as known.
    #[must_use]
    pub fn owner_of(&self, database: DatabaseId) -> Option<OwnerRoute> {
        let index = self.owners.binary_search_by_key(&database, |route| route.database).ok()?;
        Some(self.owners[index])
    }

    /// State of a database that this host owns.
    #[must_use]
    pub fn served_database(&self, database: DatabaseId) -> Option<ServedDatabase> {
        let index = self.served.binary_search_by_key(&database, |served| served.database).ok()?;
        Some(self.served[index])
    }

    /// Whether an instance is on a leaving host.
    #[must_use]
    pub fn is_leaving(&self, instance: InstanceId) -> bool {
        self.leaving.binary_search(&instance).is_ok()
    }
}
