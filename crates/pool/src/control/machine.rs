//! The control machine.

use super::systems;
use super::tables::Tables;
use super::{Action, ControlConfig, Event, StateChange};

/// Keeps the belief of one proxy about the fleet and replaces primaries.
#[derive(Debug)]
pub struct Control {
    tables: Tables,
}

impl Control {
    /// Creates a machine that knows nothing.
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

    /// When the machine must tick next if nothing happens before.
    #[must_use]
    pub fn next_deadline_us(&self, now_us: u64) -> u64 {
        systems::next_deadline_us(&self.tables, now_us)
    }

    /// Takes the outputs of the ticks so far.
    pub fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.tables.actions);
    }

    /// Takes the changes of belief for the log.
    pub fn take_changes(&mut self, changes: &mut Vec<StateChange>) {
        changes.append(&mut self.tables.changes);
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.tables.configuration.version
    }

    /// Proxies of the fleet, this one included.
    #[must_use]
    pub fn fleet_size(&self, now_us: u64) -> usize {
        self.tables.fleet_size(now_us)
    }
}
