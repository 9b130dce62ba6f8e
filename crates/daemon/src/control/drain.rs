//! Progress of a graceful shutdown.

use std::collections::BTreeSet;

/// Why the process exits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitReason {
    /// All ownerships were handed over and all callers have disconnected.
    Drained,
    /// The drain deadline passed.
    DrainDeadline,
    /// A second signal arrived.
    SecondSignal,
    /// A thread ended unexpectedly; holds its name for messages.
    ThreadEnded(&'static str),
}

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub struct Drain {
    timeout_us: u64,
    deadline_us: Option<u64>,
    control_finished: bool,
    busy_threads: BTreeSet<u8>,
}

impl Drain {
    /// Creates the state of a process that is not shutting down. A shutdown takes at most
    /// `timeout_us`.
    #[must_use]
    pub fn new(timeout_us: u64, thread_count: u8) -> Self {
        let busy_threads = (0..thread_count).collect();
        Self { timeout_us, deadline_us: None, control_finished: false, busy_threads }
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.deadline_us.is_some()
    }

    /// Time at which the process exits in any case; `None` if it is not shutting down.
    #[must_use]
    pub fn deadline_us(&self) -> Option<u64> {
        self.deadline_us
    }

    /// Starts the shutdown. Returns `false` if it had been started before.
    pub fn request(&mut self, now_us: u64) -> bool {
        let first = self.deadline_us.is_none();
        self.deadline_us.get_or_insert(now_us + self.timeout_us);
        first
    }

    /// Records that the control machine has handed over all ownerships.
    pub fn record_control_finished(&mut self) {
        self.control_finished = true;
    }

    /// Records that a traffic thread has no callers and no unwritten output.
    pub fn record_traffic_idle(&mut self, thread: u8) {
        self.busy_threads.remove(&thread);
    }

    /// Why the process can exit now; `None` if it is to go on.
    #[must_use]
    pub fn exit(&self, now_us: u64) -> Option<ExitReason> {
        let deadline_us = self.deadline_us?;
        if self.control_finished && self.busy_threads.is_empty() {
            Some(ExitReason::Drained)
        } else if deadline_us <= now_us {
            Some(ExitReason::DrainDeadline)
        } else {
            None
        }
    }
}
