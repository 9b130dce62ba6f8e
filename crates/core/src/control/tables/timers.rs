//! Timers of the entities in each table.

use super::TimerQueue;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceId, StoreCallKey};

/// Timer queues, one for each kind of entity or periodic task.
#[derive(Debug)]
pub(crate) struct Timers {
    pub(crate) heartbeat: TimerQueue<()>,
    pub(crate) suspicion: TimerQueue<HostId>,
    pub(crate) configuration_store: TimerQueue<()>,
    pub(crate) configuration_fetch: TimerQueue<()>,
    pub(crate) route: TimerQueue<DatabaseId>,
    pub(crate) record: TimerQueue<()>,
    pub(crate) owned: TimerQueue<DatabaseId>,
    pub(crate) instance: TimerQueue<InstanceId>,
    pub(crate) store_call: TimerQueue<StoreCallKey>,
    pub(crate) instance_call: TimerQueue<InstanceCallKey>,
}

impl Timers {
    pub(crate) fn new() -> Self {
        Self {
            heartbeat: TimerQueue::new(),
            suspicion: TimerQueue::new(),
            configuration_store: TimerQueue::new(),
            configuration_fetch: TimerQueue::new(),
            route: TimerQueue::new(),
            record: TimerQueue::new(),
            owned: TimerQueue::new(),
            instance: TimerQueue::new(),
            store_call: TimerQueue::new(),
            instance_call: TimerQueue::new(),
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
            self.instance_call.next_us(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
