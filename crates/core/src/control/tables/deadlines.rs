//! Deadlines of the entities of each table.

use super::DueQueue;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceId, StoreCallKey};

/// Deadlines of the entities of each table.
#[derive(Debug)]
pub(crate) struct Deadlines {
    pub(crate) heartbeat: DueQueue<()>,
    pub(crate) suspicion: DueQueue<HostId>,
    pub(crate) configuration_store: DueQueue<()>,
    pub(crate) configuration_fetch: DueQueue<()>,
    pub(crate) route: DueQueue<DatabaseId>,
    pub(crate) record: DueQueue<()>,
    pub(crate) owned: DueQueue<DatabaseId>,
    pub(crate) instance: DueQueue<InstanceId>,
    pub(crate) store_call: DueQueue<StoreCallKey>,
    pub(crate) group_call: DueQueue<InstanceCallKey>,
}

impl Deadlines {
    pub(crate) fn new() -> Self {
        Self {
            heartbeat: DueQueue::new(),
            suspicion: DueQueue::new(),
            configuration_store: DueQueue::new(),
            configuration_fetch: DueQueue::new(),
            route: DueQueue::new(),
            record: DueQueue::new(),
            owned: DueQueue::new(),
            instance: DueQueue::new(),
            store_call: DueQueue::new(),
            group_call: DueQueue::new(),
        }
    }

    /// The earliest deadline of all tables.
    pub(crate) fn next_us(&self) -> Option<u64> {
        [
            self.heartbeat.next_us(),
            self.suspicion.next_us(),
            self.configuration_store.next_us(),
            self.configuration_fetch.next_us(),
            self.route.next_us(),
            self.record.next_us(),
            self.owned.next_us(),
            self.instance.next_us(),
            self.store_call.next_us(),
            self.group_call.next_us(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
