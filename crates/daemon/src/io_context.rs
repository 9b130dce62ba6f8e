//! What the socket tables of a thread share.

use std::collections::VecDeque;
use std::sync::Arc;

use mio::event::Source;
use mio::{Interest, Registry, Token};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::net::{Deadlines, Scratch};
use crate::poller::{Poller, Ready};

/// What the socket tables of a thread share.
#[derive(Debug)]
pub struct IoContext {
    /// Registry of the thread's poll.
    pub registry: Registry,
    /// Clock of the process.
    pub clock: Clock,
    /// Time of the present wake-up.
    pub now_us: u64,
    /// Read buffer.
    pub scratch: Scratch,
    /// Deadlines of the thread's sockets.
    pub deadlines: Deadlines,
    /// Sockets with output that has not been offered to the kernel.
    pub dirty: Vec<Token>,
    /// Sockets that may have more to deliver than one wake-up takes.
    pub pending_reads: VecDeque<Token>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl IoContext {
    /// Creates the context of a thread.
    #[must_use]
    pub fn new(registry: Registry, clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self {
            registry,
            clock,
            now_us: clock.now_us(),
            scratch: Scratch::new(),
            deadlines: Deadlines::default(),
            dirty: Vec::new(),
            pending_reads: VecDeque::new(),
            metrics,
        }
    }

    /// Blocks until a source is ready, a deadline is reached or a socket has more to deliver. Notes the
    /// time and leaves what is ready in `ready`.
    pub fn wait<T>(
        &mut self,
        poller: &mut Poller<T>,
        deadlines: &[Option<u64>],
        ready: &mut Vec<Ready>,
    ) {
        let pending_reads = (!self.pending_reads.is_empty()).then_some(0);
        let own = [pending_reads, self.deadlines.next_us()];
        let deadline_us = own.iter().chain(deadlines).copied().flatten().min();
        poller.wait(self.clock, deadline_us, ready);
        self.now_us = self.clock.now_us();
        ready.extend(self.pending_reads.drain(..).map(Ready::from));
    }

    /// Has the poll report both directions of a socket.
    pub fn register(&self, source: &mut impl Source, token: Token) -> std::io::Result<()> {
        self.registry.register(source, token, Interest::READABLE | Interest::WRITABLE)
    }
}
