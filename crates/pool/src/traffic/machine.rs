//! The traffic state machine.

use super::session::Session;
use super::systems;
use super::tables::Tables;
use super::{Action, Decision, Event, MetricEvent, Report, TrafficConfig};
use crate::SessionKey;

/// State machine that serves all sessions of this proxy.
#[derive(Debug)]
pub struct Traffic {
    tables: Tables,
}

impl Traffic {
    /// Creates a state machine without sessions and instances. It learns the instances from
    /// [`Event::View`].
    #[must_use]
    pub fn new(config: TrafficConfig) -> Self {
        Self { tables: Tables::new(config) }
    }

    /// Adds a session for a new caller connection. It must be started by [`Event::SessionStart`].
    pub fn open_session(&mut self) -> SessionKey {
        self.tables.sessions.insert(Session::new())
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.tables.events.push(event);
    }

    /// Applies the queued events and runs every system once.
    pub fn tick(&mut self, now_us: u64) {
        systems::run(&mut self.tables, now_us);
    }

    /// Time at which [`Self::tick`] must be called even if no event arrives.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        self.tables.timers.next_deadline_us()
    }

    /// Moves the actions of all ticks since the last call to the end of `actions`.
    pub fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.tables.actions);
    }

    /// Moves the reports for the control state machine to the end of `reports`.
    pub fn take_reports(&mut self, reports: &mut Vec<Report>) {
        reports.append(&mut self.tables.reports);
    }

    /// Moves the decisions to be logged to the end of `decisions`.
    pub fn take_decisions(&mut self, decisions: &mut Vec<Decision>) {
        decisions.append(&mut self.tables.decisions);
    }

    /// Moves the events to be counted in metrics to the end of `metric_events`.
    pub fn take_metric_events(&mut self, metric_events: &mut Vec<MetricEvent>) {
        metric_events.append(&mut self.tables.metric_events);
    }

    /// Number of open sessions, including those that have not been accepted yet.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.tables.sessions.len()
    }

    /// Number of requests that wait for a connection, over all replica sets.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.tables.replica_sets.iter().map(|(_, set)| set.queue.len()).sum()
    }
}
