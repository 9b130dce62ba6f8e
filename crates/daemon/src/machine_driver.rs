//! Machines together with what their threads need to know about them.

use flamingorock_core::control::{self, Control};
use flamingorock_core::traffic::{self, Traffic};

/// What a thread needs of a machine.
pub trait Machine {
    /// Inputs of the machine.
    type Event;
    /// Queues an event for the next tick.
    fn push(&mut self, event: Self::Event);
    /// Runs every system once.
    fn tick(&mut self, now_us: u64);
    /// When the machine must be ticked even if no event arrives.
    fn next_deadline_us(&self) -> Option<u64>;
}

impl Machine for Traffic {
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

impl Machine for Control {
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

/// A machine that knows whether events wait for a tick, so that its thread does not block then.
/// Events come up after a tick too, while its actions are carried out.
#[derive(Debug)]
pub struct MachineDriver<M> {
    machine: M,
    events_wait: bool,
}

impl<M: Machine> MachineDriver<M> {
    /// Wraps a machine.
    #[must_use]
    pub fn new(machine: M) -> Self {
        Self { machine, events_wait: true }
    }

    /// Queues an event for the next tick.
    pub fn push(&mut self, event: M::Event) {
        self.events_wait = true;
        self.machine.push(event);
    }

    /// Runs every system once.
    pub fn tick(&mut self, now_us: u64) {
        self.events_wait = false;
        self.machine.tick(now_us);
    }

    /// When the machine must be ticked, at once if events wait.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        if self.events_wait { Some(0) } else { self.machine.next_deadline_us() }
    }

    /// The machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The machine, for anything but events.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }
}
