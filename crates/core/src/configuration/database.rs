//! A database and its instances.

use super::Instance;
use crate::{DatabaseId, InstanceId};

/// A replicated database: one primary and its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Database {
    /// Identifier derived from the name.
    pub id: DatabaseId,
    /// Name that callers connect to.
    pub name: String,
    /// Index of its service in [`Configuration::services`](super::Configuration::services).
    pub service_index: usize,
    /// Instances of the database; the position in this list is [`InstanceId::index`].
    pub instances: Vec<Instance>,
}

impl Database {
    /// Number of instances that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Identifiers of all instances, in list order.
    pub fn instance_ids(&self) -> impl Iterator<Item = InstanceId> + use<> {
        let database = self.id;
        let count = u8::try_from(self.instances.len()).expect("at most 255 instances");
        (0..count).map(move |index| InstanceId { database, index })
    }
}
