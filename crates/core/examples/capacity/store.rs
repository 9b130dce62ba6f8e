//! Fake key-value service that counts its calls.

use std::collections::BTreeMap;

use flamingorock_core::control::{OwnerRecord, StoreOperation, StoreResponse};
use flamingorock_core::{DatabaseId, StoreCallKey};

/// Numbers of calls in a period of virtual time.
#[derive(Clone, Copy, Default)]
pub struct Calls {
    pub reads: u64,
    pub writes: u64,
}

/// An open watch: a call that completes when the document changes or its deadline passes.
pub struct Watch {
    pub host: usize,
    pub call: StoreCallKey,
    pub deadline_us: u64,
}

/// The fake service. A call fails at once while it is down.
#[derive(Default)]
pub struct Store {
    pub down: bool,
    pub document: Option<(u64, u64, String)>,
    pub watches: Vec<Watch>,
    /// Calls by the second of virtual time in which they were made.
    pub calls: BTreeMap<u64, Calls>,
    records: BTreeMap<DatabaseId, (u64, OwnerRecord)>,
    last_index: u64,
}

impl Store {
    /// Writes a document and returns the open watches, which the caller completes.
    pub fn apply(&mut self, version: u64, text: &str) -> Vec<Watch> {
        self.last_index += 1;
        self.document = Some((self.last_index, version, text.to_owned()));
        std::mem::take(&mut self.watches)
    }

    /// Performs a call. Returns `None` for a watch that stays open.
    pub fn call(
        &mut self,
        now_us: u64,
        host: usize,
        call: StoreCallKey,
        operation: &StoreOperation,
        deadline_us: u64,
    ) -> Option<StoreResponse> {
        let calls = self.calls.entry(now_us / 1_000_000).or_default();
        match operation {
            StoreOperation::CompareAndSwapOwner { .. } => calls.writes += 1,
            _ => calls.reads += 1,
        }
        if self.down {
            return Some(StoreResponse::Failed);
        }
        Some(match *operation {
            StoreOperation::GetConfiguration => self.configuration(),
            StoreOperation::WatchConfiguration { index } => {
                if self.document.as_ref().is_some_and(|document| document.0 == index) {
                    self.watches.retain(|watch| watch.deadline_us > now_us);
                    self.watches.push(Watch { host, call, deadline_us });
                    return None;
                }
                self.configuration()
            }
            StoreOperation::GetOwner { database } => {
                let entry = self.records.get(&database);
                let (index, record) = entry.map_or((0, None), |&(i, record)| (i, Some(record)));
                StoreResponse::Owner { index, record }
            }
            StoreOperation::CompareAndSwapOwner { database, index, record } => {
                self.swap(database, index, record)
            }
        })
    }

    fn swap(&mut self, database: DatabaseId, index: u64, record: OwnerRecord) -> StoreResponse {
        if self.records.get(&database).map_or(0, |&(present, _)| present) != index {
            return StoreResponse::Conflict;
        }
        self.last_index += 1;
        self.records.insert(database, (self.last_index, record));
        StoreResponse::Swapped
    }

    /// Returns the response with the current document.
    pub fn configuration(&self) -> StoreResponse {
        let document = self.document.as_ref();
        StoreResponse::Configuration {
            index: document.map_or(0, |document| document.0),
            document: document.map(|(_, version, text)| (*version, text.clone())),
        }
    }

    /// Returns the calls in a period, extended to whole seconds.
    pub fn calls_between(&self, start_us: u64, end_us: u64) -> Calls {
        let range = start_us / 1_000_000..end_us.div_ceil(1_000_000);
        let mut sum = Calls::default();
        for calls in self.calls.range(range).map(|(_, calls)| calls) {
            sum.reads += calls.reads;
            sum.writes += calls.writes;
        }
        sum
    }

    /// Returns the highest number of calls in one second of a period.
    pub fn peak_between(&self, start_us: u64, end_us: u64) -> u64 {
        let range = start_us / 1_000_000..end_us.div_ceil(1_000_000);
        self.calls.range(range).map(|(_, c)| c.reads + c.writes).max().unwrap_or(0)
    }
}
