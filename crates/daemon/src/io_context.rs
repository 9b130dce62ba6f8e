//! State that the socket tables of a thread share.

use std::collections::VecDeque;
use std::sync::Arc;

use mio::event::Source;
use mio::{Interest, Registry, Token};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::net::{Deadlines, Scratch};
use crate::poller::{Poller, Ready};

/// State that the socket tables of a thread share.
#[derive(Debug)]
pub struct IoContext {
    /// Registry of the thread's poll, for sockets to be added.
    pub registry: Registry,
    /// Clock that all threads share.
    pub clock: Clock,
    /// Time at which the current wake-up of the thread began.
    pub now_us: u64,
    /// Read buffer that the sockets share.
    pub scratch: Scratch,
    /// Deadlines of the thread's sockets.
    pub deadlines: Deadlines,
    /// Sockets with output to flush.
    pub dirty: Vec<Token>,
    /// Sockets that may have more to read although the poll does not report them again, because a
    /// wake-up reads only a limited number of bytes from each.
    pub pending_reads: VecDeque<Token>,
    /// Metrics of the process.
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

    /// Blocks until a source is ready or a deadline has passed; does not block if reads are
    /// pending. Updates the time and stores the ready sources in `ready`.
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

    /// Registers a socket with the poll for reading and writing.
    pub fn register(&self, source: &mut impl Source, token: Token) -> std::io::Result<()> {
        self.registry.register(source, token, Interest::READABLE | Interest::WRITABLE)
    }
}
