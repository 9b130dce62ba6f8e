//! The traffic machine.

use std::collections::VecDeque;

use super::{Action, CallerProfile, Event, TrafficConfig};
use crate::CallerKey;
use crate::arena::Arena;

/// Decides what happens to callers, requests, connections and transactions.
#[derive(Debug)]
pub struct Traffic {
    config: TrafficConfig,
    inbox: VecDeque<Event>,
    callers: Arena<CallerKey, CallerProfile>,
    actions: Vec<Action>,
}

impl Traffic {
    /// Creates the machine.
    #[must_use]
    pub fn new(config: TrafficConfig) -> Self {
        Self { config, inbox: VecDeque::new(), callers: Arena::new(), actions: Vec::new() }
    }

    /// Adds a caller that has connected.
    pub fn open_caller(&mut self, profile: CallerProfile) -> CallerKey {
        self.callers.insert(profile)
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
    pub fn config(&self) -> &TrafficConfig {
        &self.config
    }
}
