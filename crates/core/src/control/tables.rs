//! Tables of the control-plane state machine.

mod configuration_table;
mod document;
mod host;
mod host_table;
mod instance_call;
mod instance_state;
mod owned_database;
mod phase;
mod reservation;
mod route;
mod standby;
mod store_rate_limiter;
mod timer_queue;
mod timers;
mod transfer;

pub(crate) use configuration_table::ConfigurationTable;
pub(crate) use document::Document;
pub(crate) use host::{Host, HostState, INDIRECT_SUSPICION_TIMEOUT_US, SUSPICION_TIMEOUT_US};
pub(crate) use host_table::{HostTable, RING_SUCCESSORS, SMALL_FLEET_MAX_PEERS};
pub(crate) use instance_call::InstanceCall;
pub(crate) use instance_state::InstanceState;
pub(crate) use owned_database::OwnedDatabase;
pub(crate) use phase::Phase;
pub(crate) use reservation::Reservation;
pub(crate) use route::Route;
pub(crate) use standby::Standby;
pub(crate) use store_rate_limiter::StoreRateLimiter;
pub(crate) use timer_queue::TimerQueue;
pub(crate) use timers::Timers;
pub(crate) use transfer::Transfer;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::inputs::Inputs;
use super::{
    Action, ControlConfig, ControlCounters, HostEntry, InstanceOperation, StateChange,
    StoreOperation,
};
use crate::arena::Arena;
use crate::message::OwnershipUpdate;
use crate::{DatabaseId, HostId, InstanceCallKey, InstanceId, StoreCallKey, View};

/// State that the systems of the control-plane state machine read and write.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) config: ControlConfig,
    /// Time of the current tick.
    pub(crate) now_us: u64,
    /// Time of the previous tick.
    pub(crate) last_tick_us: u64,
    /// When this process last resumed after a stall; the start time before the first.
    pub(crate) resumed_at_us: u64,
    /// Time of the first tick.
    pub(crate) started_at_us: u64,
    pub(crate) rng: SmallRng,
    pub(crate) inputs: Inputs,
    pub(crate) timers: Timers,
    pub(crate) hosts: HostTable,
    pub(crate) configuration: ConfigurationTable,
    pub(crate) routes: BTreeMap<DatabaseId, Route>,
    /// Index of `routes` by owner.
    pub(crate) routes_by_owner: BTreeMap<HostId, BTreeSet<DatabaseId>>,
    pub(crate) owned: BTreeMap<DatabaseId, OwnedDatabase>,
    /// Owned databases that the systems examine in this tick.
    pub(crate) due_owned: Vec<DatabaseId>,
    /// Calls for ownership records that have not been sent yet.
    pub(crate) record_queue: VecDeque<StoreOperation>,
    pub(crate) record_rate_limiter: StoreRateLimiter,
    pub(crate) record_calls_in_flight: usize,
    pub(crate) store_calls: Arena<StoreCallKey, StoreOperation>,
    pub(crate) instance_calls: Arena<InstanceCallKey, InstanceCall>,
    /// Ownership changes that heartbeats gossip, each with the time at which that stops.
    pub(crate) ownership_updates: VecDeque<(OwnershipUpdate, u64)>,
    pub(crate) heartbeat_sequence: u64,
    /// Current and former standbys, each with the time until which it gets every heartbeat.
    pub(crate) standby_receivers: BTreeMap<HostId, u64>,
    pub(crate) host_list: Vec<HostEntry>,
    /// Instances on leaving hosts, sorted.
    pub(crate) leaving: Vec<InstanceId>,
    /// Whether `leaving` must be recomputed because the host list or the configuration has changed.
    pub(crate) leaving_stale: bool,
    pub(crate) store_available: bool,
    pub(crate) draining: bool,
    pub(crate) drain_finished: bool,
    /// Whether the content of the view may have changed.
    pub(crate) view_changed: bool,
    pub(crate) view: Arc<View>,
    pub(crate) counters: ControlCounters,
    pub(crate) actions: Vec<Action>,
}

impl Tables {
    /// Creates the tables and schedules the timers of a host that starts now.
    pub(crate) fn start(config: ControlConfig, now_us: u64) -> Self {
        let mut tables = Self::new(config, now_us);
        tables.timers.heartbeat.set((), now_us);
        tables.timers.configuration_store.set((), now_us);
        for (peer, row) in tables.hosts.iter() {
            tables.timers.suspicion.set(peer, row.suspect_at_us());
        }
        tables
    }

    pub(crate) fn new(config: ControlConfig, now_us: u64) -> Self {
        Self {
            now_us,
            last_tick_us: now_us,
            resumed_at_us: now_us,
            started_at_us: now_us,
            rng: SmallRng::seed_from_u64(config.seed),
            inputs: Inputs::default(),
            timers: Timers::new(),
            hosts: HostTable::new(config.host, &config.peers, now_us),
            configuration: ConfigurationTable::new(now_us),
            routes: BTreeMap::new(),
            routes_by_owner: BTreeMap::new(),
            owned: BTreeMap::new(),
            due_owned: Vec::new(),
            record_queue: VecDeque::new(),
            record_rate_limiter: StoreRateLimiter::new(now_us),
            record_calls_in_flight: 0,
            store_calls: Arena::new(),
            instance_calls: Arena::new(),
            ownership_updates: VecDeque::new(),
            heartbeat_sequence: 0,
            standby_receivers: BTreeMap::new(),
            host_list: Vec::new(),
            leaving: Vec::new(),
            leaving_stale: false,
            store_available: true,
            draining: false,
            drain_finished: false,
            view_changed: true,
            view: Arc::new(View::default()),
            counters: ControlCounters::default(),
            actions: Vec::new(),
            config,
        }
    }

    pub(crate) fn log(&mut self, change: StateChange) {
        self.actions.push(Action::Log(change));
    }

    /// Applies a random jitter of up to 20 % in either direction.
    pub(crate) fn jittered(&mut self, interval_us: u64) -> u64 {
        self.rng.random_range(interval_us * 4 / 5..=interval_us * 6 / 5)
    }

    /// Calls the key-value service. In case the I/O layer does not report the outcome, the call
    /// counts as failed one second after its deadline.
    pub(crate) fn call_store(
        &mut self,
        operation: StoreOperation,
        timeout_us: u64,
    ) -> StoreCallKey {
        const REPORT_GRACE_US: u64 = 1_000_000;
        let call = self.store_calls.insert(operation.clone());
        let deadline_us = self.now_us + timeout_us;
        self.timers.store_call.set(call, deadline_us + REPORT_GRACE_US);
        self.counters.store_calls += 1;
        self.actions.push(Action::CallStore { call, operation, deadline_us });
        call
    }

    /// Calls a function of a database instance. The call counts as timed out at its deadline.
    pub(crate) fn call_instance(
        &mut self,
        instance: InstanceId,
        operation: InstanceOperation,
        timeout_us: u64,
    ) -> InstanceCallKey {
        let sent_at_us = self.now_us;
        let call = self.instance_calls.insert(InstanceCall { instance, operation, sent_at_us });
        let deadline_us = sent_at_us + timeout_us;
        self.timers.instance_call.set(call, deadline_us);
        self.counters.group_calls += 1;
        self.actions.push(Action::CallInstance { call, instance, operation, deadline_us });
        call
    }

    /// Whether this process has run long enough to have received heartbeats of all live peers, and
    /// for an owner that has reserved an epoch for the previous process on this host to have
    /// noticed the restart. Before that, this host claims and takes over nothing.
    pub(crate) fn is_past_startup_grace(&self) -> bool {
        self.now_us >= self.startup_grace_ends_us()
    }

    /// Time from which [`Self::is_past_startup_grace`] holds.
    pub(crate) fn startup_grace_ends_us(&self) -> u64 {
        const MARGIN_US: u64 = 100_000;
        self.started_at_us + SUSPICION_TIMEOUT_US + MARGIN_US
    }

    /// State of an instance, if this host owns its database.
    pub(crate) fn instance_mut(&mut self, instance: InstanceId) -> Option<&mut InstanceState> {
        let owned = self.owned.get_mut(&instance.database)?;
        owned.instances.get_mut(usize::from(instance.index))
    }

    /// Indices of the instances of a database that are on leaving hosts. `leaving` is sorted, so
    /// they are adjacent.
    pub(crate) fn leaving_indices(&self, database: DatabaseId) -> Vec<u8> {
        let start = self.leaving.partition_point(|instance| instance.database < database);
        let own = self.leaving[start..].iter().take_while(|i| i.database == database);
        own.map(|instance| instance.index).collect()
    }

    /// Adds an owned database to those that the systems still to run in this tick examine.
    pub(crate) fn mark_due(&mut self, database: DatabaseId) {
        if !self.due_owned.contains(&database) {
            self.due_owned.push(database);
        }
    }

    /// Updates whether the key-value service responds, and logs a change.
    pub(crate) fn set_store_available(&mut self, available: bool) {
        if self.store_available != available {
            self.store_available = available;
            self.log(StateChange::StoreAvailability { available });
        }
    }
}
