//! Databases of a service.

use super::Instance;
use crate::{DatabaseId, InstanceId};

/// A replicated database.
#[derive(Clone, Debug, PartialEq)]
pub struct Database {
    /// Identity derived from the name.
    pub id: DatabaseId,
    /// Name that callers connect to.
    pub name: String,
    /// Index of its service in the configuration's list.
    pub service_index: usize,
    /// Its instances; the index is part of [`InstanceId`].
    pub instances: Vec<Instance>,
}

impl Database {
    /// Number of instances that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Identities of all instances.
    pub fn instance_ids(&self) -> impl Iterator<Item = InstanceId> + use<> {
        let database = self.id;
        let count = u8::try_from(self.instances.len()).expect("at most 255 instances");
        (0..count).map(move |index| InstanceId { database, index })
    }
}
