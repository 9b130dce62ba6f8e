//! The control-plane state machine.

use std::collections::VecDeque;

use super::systems;
use super::tables::Tables;
use super::{Action, ControlConfig, ControlCounters, ControlStatus, Event};

/// The control-plane state machine of one host. It decides which hosts are alive, which
/// configuration is in force, who owns each database, and which instance is primary under which
/// term.
///
/// It does no I/O: events go in with [`Self::push`], [`Self::tick`] runs the systems, and actions
/// come out with [`Self::drain_actions`].
#[derive(Debug)]
pub struct Control {
    inbox: VecDeque<Event>,
    tables: Tables,
    started: bool,
}

impl Control {
    /// Creates the state machine. Its timers start with the first tick.
    #[must_use]
    pub fn new(config: ControlConfig) -> Self {
        Self { inbox: VecDeque::new(), tables: Tables::new(config, 0), started: false }
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.inbox.push_back(event);
    }

    /// Runs every system once.
    pub fn tick(&mut self, now_us: u64) {
        if !self.started {
            self.tables = Tables::start(self.tables.config.clone(), now_us);
            self.started = true;
        }
        self.tables.now_us = now_us;
        for event in self.inbox.drain(..) {
            self.tables.inputs.push(event);
        }
        systems::run_all(&mut self.tables);
        self.tables.last_tick_us = now_us;
    }

    /// Removes and returns the actions that the ticks have queued, in order.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.tables.actions.drain(..)
    }

    /// Monotonic time at which [`Self::tick`] must run even if no event arrives. It can be in the
    /// past: before the first tick, and when a decision needs another run of the systems.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        if self.started { self.tables.timers.next_us() } else { Some(0) }
    }

    /// Settings that the state machine was created with.
    #[must_use]
    pub fn config(&self) -> &ControlConfig {
        &self.tables.config
    }

    /// Snapshot of the state for the administration port, as of the last tick.
    #[must_use]
    pub fn status(&self) -> ControlStatus {
        ControlStatus::from_tables(&self.tables)
    }

    /// Counters since the process started.
    #[must_use]
    pub fn counters(&self) -> ControlCounters {
        self.tables.counters
    }
}
