//! State machine of the control thread.

use super::systems;
use super::tables::Tables;
use super::{Action, ControlConfig, Event, StateChange};

/// Tracks the fleet from the point of view of one proxy and fails over primaries.
#[derive(Debug)]
pub struct Control {
    tables: Tables,
}

impl Control {
    /// Creates a machine that has not read the store yet.
    #[must_use]
    pub fn new(config: ControlConfig, now_us: u64) -> Self {
        Self { tables: Tables::new(config, now_us) }
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.tables.events.push(event);
    }

    /// Runs every system once.
    pub fn tick(&mut self, now_us: u64) {
        systems::run(&mut self.tables, now_us);
    }

    /// Time of the next tick if no event arrives before.
    #[must_use]
    pub fn next_deadline_us(&self, now_us: u64) -> u64 {
        systems::next_deadline_us(&self.tables, now_us)
    }

    /// Moves the actions of all ticks since the last call to `actions`.
    pub fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.tables.actions);
    }

    /// Moves the state changes since the last call to `changes`, for the log.
    pub fn take_changes(&mut self, changes: &mut Vec<StateChange>) {
        changes.append(&mut self.tables.changes);
    }

    /// Version of the configuration in force; 0 if none has been read.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.tables.configuration.version
    }

    /// Epoch of the agreed membership and the number of its members; 0 if none is known.
    #[must_use]
    pub fn membership(&self) -> (u64, usize) {
        let membership = &self.tables.membership;
        let members = membership.record.as_ref().map_or(0, |record| record.members.len());
        (membership.epoch(), members)
    }

    /// Number of proxies in the fleet, including this one.
    #[must_use]
    pub fn fleet_size(&self, now_us: u64) -> usize {
        self.tables.fleet_size(now_us)
    }
}
