//! Immutable snapshots that the control thread publishes to the traffic threads.

use std::sync::Arc;

use crate::configuration::Configuration;
use crate::{DatabaseId, HostId, InstanceId, Term};

/// The part of the control thread's state that traffic threads need.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Increases with each publication.
    pub sequence: u64,
    /// Current configuration.
    pub configuration: Arc<Configuration>,
    /// Known owners, sorted by database; a database without a known owner has no entry.
    pub owners: Vec<OwnerRoute>,
    /// Databases that this host owns and serves, sorted by database.
    pub served: Vec<ServedDatabase>,
    /// Instances on hosts that are being removed, sorted. They receive no new requests.
    pub leaving: Vec<InstanceId>,
    /// Whether this proxy is shutting down.
    pub draining: bool,
}

/// The last known owner of a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerRoute {
    /// The database.
    pub database: DatabaseId,
    /// Host that owns it.
    pub owner: HostId,
    /// Epoch of the ownership. An entry with a higher epoch supersedes this one.
    pub epoch: u32,
}

/// A database that this host owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServedDatabase {
    /// The database.
    pub database: DatabaseId,
    /// Term under which the primary was promoted.
    pub term: Term,
    /// Index of the primary among the instances; `None` during a promotion.
    pub primary_index: Option<u8>,
    /// Whether new requests are admitted; `false` while the database is being handed over.
    pub admits: bool,
}

impl View {
    /// The last known owner of a database, or `None` if no owner is known.
    #[must_use]
    pub fn owner_of(&self, database: DatabaseId) -> Option<OwnerRoute> {
        let index = self.owners.binary_search_by_key(&database, |route| route.database).ok()?;
        Some(self.owners[index])
    }

    /// State of a database if this host owns and serves it.
    #[must_use]
    pub fn served_database(&self, database: DatabaseId) -> Option<ServedDatabase> {
        let index = self.served.binary_search_by_key(&database, |served| served.database).ok()?;
        Some(self.served[index])
    }

    /// Whether an instance is on a host that is being removed.
    #[must_use]
    pub fn is_leaving(&self, instance: InstanceId) -> bool {
        self.leaving.binary_search(&instance).is_ok()
    }
}
