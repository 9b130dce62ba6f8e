//! Fake of the key-value service with outages, lost responses and watches.

use std::collections::BTreeMap;

use flamingorock_core::control::{OwnerRecord, StoreOperation, StoreResponse};
use flamingorock_core::{DatabaseId, HostId, StoreCallKey};

#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) down: bool,
    /// Number of further writes that take effect but whose response is lost.
    pub(crate) lost_swap_responses: u32,
    pub(crate) records: BTreeMap<DatabaseId, (u64, OwnerRecord)>,
    /// Modification index, version and text.
    pub(crate) document: Option<(u64, u64, String)>,
    last_index: u64,
    /// Time and host of every call, including those without a response.
    pub(crate) calls: Vec<(u64, HostId)>,
    pub(crate) watches: Vec<(HostId, StoreCallKey)>,
}

impl FakeStore {
    pub(crate) fn write_configuration(
        &mut self,
        version: u64,
        text: &str,
    ) -> Vec<(HostId, StoreCallKey)> {
        self.last_index += 1;
        self.document = Some((self.last_index, version, text.to_owned()));
        core::mem::take(&mut self.watches)
    }

    /// Performs a call. Returns `None` if the response is lost or sent later.
    pub(crate) fn call(
        &mut self,
        now_us: u64,
        host: HostId,
        call: StoreCallKey,
        operation: StoreOperation,
    ) -> Option<StoreResponse> {
        self.calls.push((now_us, host));
        if self.down {
            return None;
        }
        match operation {
            StoreOperation::GetConfiguration => Some(self.configuration()),
            StoreOperation::WatchConfiguration { index } => {
                if self.document.as_ref().map_or(0, |document| document.0) != index {
                    return Some(self.configuration());
                }
                self.watches.push((host, call));
                None
            }
            StoreOperation::GetOwner { database } => {
                let entry = self.records.get(&database);
                let (index, record) = entry.map_or((0, None), |&(i, record)| (i, Some(record)));
                Some(StoreResponse::Owner { index, record })
            }
            StoreOperation::CompareAndSwapOwner { database, index, record } => {
                let present = self.records.get(&database).map_or(0, |&(index, _)| index);
                if present != index {
                    return Some(StoreResponse::Conflict);
                }
                self.last_index += 1;
                self.records.insert(database, (self.last_index, record));
                if self.lost_swap_responses > 0 {
                    self.lost_swap_responses -= 1;
                    return None;
                }
                Some(StoreResponse::Swapped)
            }
        }
    }

    pub(crate) fn configuration(&self) -> StoreResponse {
        let (index, document) = match &self.document {
            Some((index, version, text)) => (*index, Some((*version, text.clone()))),
            None => (0, None),
        };
        StoreResponse::Configuration { index, document }
    }
}
