//! The traffic machine.

use super::session::Session;
use super::systems;
use super::tables::Tables;
use super::{Action, Decision, Event, MetricEvent, Report, TrafficConfig};
use crate::SessionKey;

/// Serves the sessions of one proxy.
#[derive(Debug)]
pub struct Traffic {
    tables: Tables,
}

impl Traffic {
    /// Creates a machine without sessions and instances.
    #[must_use]
    pub fn new(config: TrafficConfig) -> Self {
        Self { tables: Tables::new(config) }
    }

    /// Adds a session for a caller that has connected.
    pub fn open_session(&mut self) -> SessionKey {
        self.tables.sessions.insert(Session::new())
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.tables.events.push(event);
    }

    /// Runs every system once.
    pub fn tick(&mut self, now_us: u64) {
        systems::run(&mut self.tables, now_us);
    }

    /// When the machine must tick next if nothing happens before.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        self.tables.due.next_us()
    }

    /// Takes the outputs of the ticks so far.
    pub fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.tables.actions);
    }

    /// Takes the observations for the control machine.
    pub fn take_reports(&mut self, reports: &mut Vec<Report>) {
        reports.append(&mut self.tables.reports);
    }

    /// Takes the decisions for the log.
    pub fn take_decisions(&mut self, decisions: &mut Vec<Decision>) {
        decisions.append(&mut self.tables.decisions);
    }

    /// Takes what is to be counted.
    pub fn take_metric_events(&mut self, metric_events: &mut Vec<MetricEvent>) {
        metric_events.append(&mut self.tables.metric_events);
    }

    /// Open sessions.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.tables.sessions.len()
    }

    /// Requests that wait for a connection.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.tables.replica_sets.iter().map(|(_, set)| set.waiting.len()).sum()
    }
}
