//! Progress of the process towards its end.

use std::collections::BTreeSet;

/// Why the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitReason {
    /// Everything was handed over and all callers are gone.
    Drained,
    /// The drain deadline passed.
    DrainDeadline,
    /// A second signal arrived.
    SecondSignal,
    /// A thread ended that should not have.
    ThreadEnded(&'static str),
}

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub struct Drain {
    limit_us: u64,
    deadline_us: Option<u64>,
    control_finished: bool,
    busy_threads: BTreeSet<u8>,
}

impl Drain {
    /// Creates the state of a process that is not shutting down.
    #[must_use]
    pub fn new(limit_us: u64, thread_count: u8) -> Self {
        let busy_threads = (0..thread_count).collect();
        Self { limit_us, deadline_us: None, control_finished: false, busy_threads }
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.deadline_us.is_some()
    }

    /// When the process ends in any case.
    #[must_use]
    pub fn deadline_us(&self) -> Option<u64> {
        self.deadline_us
    }

    /// Starts the shutdown. Returns `false` if it had been started before.
    pub fn request(&mut self, now_us: u64) -> bool {
        let first = self.deadline_us.is_none();
        self.deadline_us.get_or_insert(now_us + self.limit_us);
        first
    }

    /// The control machine has handed everything over.
    pub fn control_finished(&mut self) {
        self.control_finished = true;
    }

    /// A traffic thread has no callers and nothing to send.
    pub fn traffic_idle(&mut self, thread: u8) {
        self.busy_threads.remove(&thread);
    }

    /// Whether the process can end.
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
