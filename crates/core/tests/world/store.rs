//! A fake of the platform's key-value service.

use std::collections::BTreeMap;

use flamingorock_core::DatabaseId;
use flamingorock_core::control::{OwnerRecord, StoreOperation, StoreResponse};

#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    pub index: u64,
    pub configuration: Option<(u64, u64, String)>,
    pub owners: BTreeMap<DatabaseId, (u64, OwnerRecord)>,
    pub outage: bool,
    /// Number of writes that are still to take effect and be reported as failed.
    pub lost_responses: u32,
    pub calls: u64,
}

impl FakeStore {
    /// Stores a configuration document under a version.
    pub fn apply(&mut self, version: u64) {
        self.index += 1;
        self.configuration = Some((self.index, version, format!("configuration {version}")));
    }

    /// Performs a call. Returns `None` for a watch of an unchanged configuration.
    pub fn call(&mut self, operation: &StoreOperation) -> Option<StoreResponse> {
        match operation {
            StoreOperation::GetConfiguration => Some(self.read_configuration()),
            StoreOperation::WatchConfiguration { index } => {
                let current = self.configuration.as_ref().map_or(0, |(current, ..)| *current);
                (current != *index).then(|| self.read_configuration())
            }
            StoreOperation::GetOwner { database } => Some(match self.owners.get(database) {
                Some(&(index, record)) => StoreResponse::Owner { index, record: Some(record) },
                None => StoreResponse::Owner { index: 0, record: None },
            }),
            StoreOperation::CompareAndSwapOwner { database, index, record } => {
                Some(self.swap_owner(*database, *index, *record))
            }
        }
    }

    pub fn read_configuration(&self) -> StoreResponse {
        match &self.configuration {
            Some((index, version, text)) => StoreResponse::Configuration {
                index: *index,
                document: Some((*version, text.clone())),
            },
            None => StoreResponse::Configuration { index: 0, document: None },
        }
    }

    fn swap_owner(
        &mut self,
        database: DatabaseId,
        index: u64,
        record: OwnerRecord,
    ) -> StoreResponse {
        let current = self.owners.get(&database).map_or(0, |(current, _)| *current);
        if current != index {
            return StoreResponse::Conflict;
        }
        self.index += 1;
        self.owners.insert(database, (self.index, record));
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return StoreResponse::Failed;
        }
        StoreResponse::Swapped
    }
}
