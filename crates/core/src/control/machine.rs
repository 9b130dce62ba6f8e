//! The control machine.

use std::collections::VecDeque;

use super::{Action, ControlConfig, Event};

/// Decides membership, configuration, ownership of databases, terms and promotion.
#[derive(Debug)]
pub struct Control {
    config: ControlConfig,
    inbox: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Control {
    /// Creates the machine.
    #[must_use]
    pub fn new(config: ControlConfig) -> Self {
        Self { config, inbox: VecDeque::new(), actions: Vec::new() }
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: Event) {
        self.inbox.push_back(event);
    }

    /// Runs every system once.
    pub fn tick(&mut self, _now_us: u64) {
        self.inbox.clear();
    }

    /// Takes the actions that the ticks have queued, in order.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// When the machine must be ticked even if no event arrives.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        None
    }

    /// The settings.
    #[must_use]
    pub fn config(&self) -> &ControlConfig {
        &self.config
    }
}
