//! The traffic state machine.

use std::collections::VecDeque;

use super::caller::Caller;
use super::tables::Tables;
use super::work_item::WorkItemState;
use super::{
    Action, DispatchPolicy, Event, FloorPriority, Gauges, ServiceCounters, SessionParameters,
    TrafficConfig, systems,
};
use crate::{CallerKey, ResultCode};

/// State machine of a traffic thread. It decides everything about callers, requests, connections
/// and transactions.
///
/// The machine has two sides. The entry side holds callers and their requests and routes each
/// request to the owner of its database. The owner side holds the queues, connections and
/// transactions of the databases that this thread serves. The sides communicate through
/// [`TrafficMessage`](crate::message::TrafficMessage) even on the same thread, so that all requests
/// take the same path.
#[derive(Debug)]
pub struct Traffic<P = FloorPriority> {
    tables: Tables<P>,
    inbox: VecDeque<Event>,
    next_deadline_us: Option<u64>,
}

impl<P: DispatchPolicy> Traffic<P> {
    /// Creates a machine without a configuration; callers are refused until the first view arrives.
    #[must_use]
    pub fn new(config: TrafficConfig) -> Self {
        Self { tables: Tables::new(config), inbox: VecDeque::new(), next_deadline_us: None }
    }

    /// Registers a caller that has connected, or returns the reason for which it is refused.
    ///
    /// # Errors
    ///
    /// Returns a code if the database is unknown, the service has reached its limit of callers, no
    /// configuration has been loaded or the proxy is shutting down.
    pub fn open_caller(&mut self, profile: SessionParameters) -> Result<CallerKey, ResultCode> {
        systems::admit_caller(&self.tables, profile.database)?;
        Ok(self.tables.insert_caller(profile.database))
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.inbox.push_back(event);
    }

    /// Handles the events since the last tick and runs all systems.
    pub fn tick(&mut self, now_us: u64) {
        let tables = &mut self.tables;
        tables.now_us = now_us;
        systems::detect_pause(tables, self.next_deadline_us);
        while let Some(event) = self.inbox.pop_front() {
            systems::handle_event(tables, event);
        }
        systems::expire(tables);
        // Messages from this thread to itself, such as the response to a request for a database
        // that it owns, are handled in the same tick. The loop therefore runs until none are left.
        loop {
            systems::route(tables);
            systems::receive(tables);
            systems::confirm(tables);
            systems::dispatch(tables);
            systems::deliver(tables);
            if tables.unrouted.is_empty() && tables.inbound.is_empty() && tables.outcomes.is_empty()
            {
                break;
            }
        }
        systems::connect(tables);
        systems::probe(tables);
        systems::report_quiescence(tables);
        self.next_deadline_us = systems::next_deadline_us(tables);
    }

    /// Removes and returns the queued actions, in the order in which they must be performed.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.tables.actions.drain(..)
    }

    /// Time by which [`Self::tick`] must be called even without events, as of the last tick.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        self.next_deadline_us
    }

    /// Settings that the machine was created with.
    #[must_use]
    pub fn config(&self) -> &TrafficConfig {
        &self.tables.config
    }

    /// Counters by service and rank. They are kept when a service or rank is removed.
    #[must_use]
    pub fn counters(&self) -> &[ServiceCounters] {
        &self.tables.counters
    }

    /// Current number of entities in each state.
    #[must_use]
    pub fn gauges(&self) -> Gauges {
        let tables = &self.tables;
        let mut gauges = Gauges {
            callers: tables.callers.len(),
            entry_requests: tables.requests.len(),
            transactions: tables.transactions.len(),
            connections: tables.connections.len(),
            ..Gauges::default()
        };
        for (_, work) in tables.work_items.iter() {
            match work.state {
                WorkItemState::AwaitingMinPosition | WorkItemState::Queued => gauges.queued += 1,
                WorkItemState::Running { .. } => gauges.running += 1,
                WorkItemState::AwaitingConfirmation(_) => gauges.awaiting_confirmation += 1,
            }
        }
        gauges
    }

    /// Whether a caller has no request in flight and no transaction; `true` if the caller is gone.
    #[must_use]
    pub fn is_idle(&self, caller: CallerKey) -> bool {
        self.tables.callers.get(caller).is_none_or(Caller::is_idle)
    }
}
