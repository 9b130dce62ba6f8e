//! Tables of the traffic machine.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::caller::Caller;
use super::connection::Connection;
use super::database_state::DatabaseState;
use super::deadlines::Deadlines;
use super::entry_request::EntryRequest;
use super::retry_budget::RetryBudget;
use super::transaction::Transaction;
use super::work_item::WorkItem;
use super::{Action, ServiceCounters, TrafficConfig};
use crate::arena::Arena;
use crate::message::{Outcome, TrafficMessage};
use crate::{
    CallerKey, ConnectionKey, DatabaseId, HostId, RequestKey, TransactionKey, View, WorkItemKey,
};

/// All state of the traffic machine, and the queues through which systems pass data within a tick.
#[derive(Debug)]
pub(crate) struct Tables<P> {
    pub(crate) config: TrafficConfig,
    pub(crate) now_us: u64,
    pub(crate) view: Arc<View>,

    // Entry side.
    pub(crate) callers: Arena<CallerKey, Caller>,
    /// Number of callers per database, so that the caller limit of a service is checked without a
    /// scan.
    callers_by_database: HashMap<DatabaseId, u32>,
    pub(crate) requests: Arena<RequestKey, EntryRequest>,
    pub(crate) request_deadlines: Deadlines<RequestKey>,
    pub(crate) route_retries: Deadlines<RequestKey>,
    pub(crate) unrouted: Vec<RequestKey>,
    /// Outcomes to deliver to callers, received from owners or decided on the entry side.
    pub(crate) outcomes: VecDeque<(RequestKey, Outcome)>,
    pub(crate) counters: Vec<ServiceCounters>,

    // Owner side.
    pub(crate) databases: BTreeMap<DatabaseId, DatabaseState<P>>,
    pub(crate) work_items: Arena<WorkItemKey, WorkItem>,
    /// Work items by entry proxy, traffic thread and key of the request there.
    pub(crate) work_index: HashMap<(HostId, u8, RequestKey), WorkItemKey>,
    pub(crate) work_deadlines: Deadlines<WorkItemKey>,
    pub(crate) connections: Arena<ConnectionKey, Connection>,
    pub(crate) transactions: Arena<TransactionKey, Transaction>,
    pub(crate) transaction_deadlines: Deadlines<TransactionKey>,
    /// Transactions that were recently rolled back for being idle, so that their next statement is
    /// refused with the right code.
    pub(crate) idle_timeouts: VecDeque<TransactionKey>,
    pub(crate) next_probe_number: u64,

    // Both sides.
    pub(crate) retry_budget: RetryBudget,
    /// Messages to this thread from other hosts, from other threads and from itself.
    pub(crate) inbound: VecDeque<(HostId, TrafficMessage)>,
    pub(crate) actions: Vec<Action>,
}

impl<P> Tables<P> {
    pub(crate) fn new(config: TrafficConfig) -> Self {
        Self {
            config,
            now_us: 0,
            view: Arc::new(View::default()),
            callers: Arena::new(),
            callers_by_database: HashMap::new(),
            requests: Arena::new(),
            request_deadlines: Deadlines::new(),
            route_retries: Deadlines::new(),
            unrouted: Vec::new(),
            outcomes: VecDeque::new(),
            counters: Vec::new(),
            databases: BTreeMap::new(),
            work_items: Arena::new(),
            work_index: HashMap::new(),
            work_deadlines: Deadlines::new(),
            connections: Arena::new(),
            transactions: Arena::new(),
            transaction_deadlines: Deadlines::new(),
            idle_timeouts: VecDeque::new(),
            next_probe_number: 1,
            retry_budget: RetryBudget::new(),
            inbound: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    pub(crate) fn insert_caller(&mut self, database: DatabaseId) -> CallerKey {
        *self.callers_by_database.entry(database).or_default() += 1;
        self.callers.insert(Caller::new(database))
    }

    pub(crate) fn remove_caller(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.remove(key) else { return };
        if let Some(count) = self.callers_by_database.get_mut(&caller.database) {
            *count -= 1;
        }
    }

    /// Number of callers connected to a database.
    pub(crate) fn connected_callers(&self, database: DatabaseId) -> u32 {
        self.callers_by_database.get(&database).copied().unwrap_or(0)
    }

    /// Records that a transaction was rolled back for being idle. The oldest record is discarded
    /// beyond a fixed capacity, which bounds memory; the next statement of that transaction is then
    /// refused with `TransactionLost`.
    pub(crate) fn record_idle_timeout(&mut self, key: TransactionKey) {
        const CAPACITY: usize = 1_024;
        if self.idle_timeouts.len() == CAPACITY {
            self.idle_timeouts.pop_front();
        }
        self.idle_timeouts.push_back(key);
    }

    /// Sends a message to the traffic thread that handles it. Messages to this thread itself are
    /// handled in the same tick.
    pub(crate) fn send(&mut self, host: HostId, message: TrafficMessage) {
        let thread = match &message {
            TrafficMessage::Execute(request) => self.config.thread_of(request.database),
            TrafficMessage::Cancel { database, .. }
            | TrafficMessage::EndTransaction { database, .. } => self.config.thread_of(*database),
            TrafficMessage::Outcome { entry_thread, .. } => *entry_thread,
        };
        if host == self.config.host && thread == self.config.thread {
            self.inbound.push_back((host, message));
            return;
        }
        let request = match &message {
            TrafficMessage::Execute(request) => Some(request.request),
            _ => None,
        };
        self.actions.push(Action::Send { host, request, message });
    }
}
