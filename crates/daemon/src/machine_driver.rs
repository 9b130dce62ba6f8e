//! Interface between a state machine and the thread that runs it.

use flamingorock_core::control::{self, Control};
use flamingorock_core::traffic::{self, Traffic};

/// Operations of a state machine that its thread needs.
pub trait StateMachine {
    /// Input of the state machine.
    type Event;
    /// Queues an event for the next tick.
    fn push(&mut self, event: Self::Event);
    /// Runs every system once.
    fn tick(&mut self, now_us: u64);
    /// Time of the next tick that is needed even if no event arrives; `None` if none is.
    fn next_deadline_us(&self) -> Option<u64>;
}

impl StateMachine for Traffic {
    type Event = traffic::Event;

    fn push(&mut self, event: Self::Event) {
        Traffic::push(self, event);
    }

    fn tick(&mut self, now_us: u64) {
        Traffic::tick(self, now_us);
    }

    fn next_deadline_us(&self) -> Option<u64> {
        Traffic::next_deadline_us(self)
    }
}

impl StateMachine for Control {
    type Event = control::Event;

    fn push(&mut self, event: Self::Event) {
        Control::push(self, event);
    }

    fn tick(&mut self, now_us: u64) {
        Control::tick(self, now_us);
    }

    fn next_deadline_us(&self) -> Option<u64> {
        Control::next_deadline_us(self)
    }
}

/// A state machine and whether it has events queued for the next tick, so that its thread does not
/// block while it has. Performing the actions of a tick may queue further events.
#[derive(Debug)]
pub struct MachineDriver<M> {
    machine: M,
    has_queued_events: bool,
}

impl<M: StateMachine> MachineDriver<M> {
    /// Wraps a state machine, whose first tick is due at once.
    #[must_use]
    pub fn new(machine: M) -> Self {
        Self { machine, has_queued_events: true }
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: M::Event) {
        self.has_queued_events = true;
        self.machine.push(event);
    }

    /// Runs every system once.
    pub fn tick(&mut self, now_us: u64) {
        self.has_queued_events = false;
        self.machine.tick(now_us);
    }

    /// Time of the next tick that is needed: at once if events are queued.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        if self.has_queued_events { Some(0) } else { self.machine.next_deadline_us() }
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The state machine, for all operations except adding events.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }
}
