//! The traffic machine.

use std::collections::VecDeque;

use super::caller::Caller;
use super::tables::Tables;
use super::work::WorkState;
use super::{
    Action, DispatchPolicy, Event, FloorPriority, Gauges, ServiceCounters, SessionParameters,
    TrafficConfig, systems,
};
use crate::{CallerKey, ResultCode};

/// Decides what happens to callers, requests, connections and transactions.
///
/// The machine has two sides. The entry side owns callers and their requests and finds the owner of
/// each request's database. The owner side has the queues, connections and transactions of the
/// databases that this thread serves. The sides talk by [`TrafficMessage`](crate::message::TrafficMessage)
/// even if they are on the same thread, so that there is one path for all requests.
#[derive(Debug)]
pub struct Traffic<P = FloorPriority> {
    tables: Tables<P>,
    inbox: VecDeque<Event>,
    next_deadline_us: Option<u64>,
}

impl<P: DispatchPolicy> Traffic<P> {
    /// Creates the machine.
    #[must_use]
    pub fn new(config: TrafficConfig) -> Self {
        Self { tables: Tables::new(config), inbox: VecDeque::new(), next_deadline_us: None }
    }

    /// Adds a caller that has connected, or says why it is refused.
    ///
    /// # Errors
    ///
    /// The database is unknown, the service has reached its limit of callers, no configuration is in
    /// force or the proxy is shutting down.
    pub fn open_caller(&mut self, profile: SessionParameters) -> Result<CallerKey, ResultCode> {
        systems::admit_caller(&self.tables, profile.database)?;
        Ok(self.tables.insert_caller(profile.database))
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.inbox.push_back(event);
    }

    /// Runs every system once over what has arrived since the last tick.
    pub fn tick(&mut self, now_us: u64) {
        let tables = &mut self.tables;
        tables.now_us = now_us;
        systems::note_pause(tables, self.next_deadline_us);
        while let Some(event) = self.inbox.pop_front() {
            systems::handle_event(tables, event);
        }
        systems::expire(tables);
        // A message to the own thread, such as the answer to a request for a database that this
        // thread owns, is handled in the same tick; hence the repetition until nothing is left.
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

    /// Takes the actions that the ticks have queued, in order.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.tables.actions.drain(..)
    }

    /// When the machine must be ticked even if no event arrives, as of the last tick.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        self.next_deadline_us
    }

    /// The settings.
    #[must_use]
    pub fn config(&self) -> &TrafficConfig {
        &self.tables.config
    }

    /// Counters by service and rank. They outlive changes of the configuration.
    #[must_use]
    pub fn counters(&self) -> &[ServiceCounters] {
        &self.tables.counters
    }

    /// Present sizes of the tables.
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
        for (_, work) in tables.works.iter() {
            match work.state {
                WorkState::AwaitingMinPosition | WorkState::Queued => gauges.queued += 1,
                WorkState::Running { .. } => gauges.running += 1,
                WorkState::AwaitingConfirmation(_) => gauges.awaiting_confirmation += 1,
            }
        }
        gauges
    }

    /// Whether a caller has nothing in flight and no transaction open. `true` if it is gone.
    #[must_use]
    pub fn is_idle(&self, caller: CallerKey) -> bool {
        self.tables.callers.get(caller).is_none_or(Caller::is_idle)
    }
}
