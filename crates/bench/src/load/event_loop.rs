//! Event loop that runs many callers on one thread.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingorock_core::arena::Arena;
use hdrhistogram::Histogram;
use mio::{Events, Interest, Poll};

use super::caller::Caller;
use super::caller_key::CallerKey;
use super::reply_scanner::Reply;
use super::session::{Session, SessionOptions};
use crate::bench_error::BenchError;
use crate::interrupt;
use crate::measure::histogram;
use crate::statement::Statement;

const EVENTS_PER_WAKE_UP: usize = 1024;
/// Longest poll, which bounds the time between two checks of the interrupt flag.
const MAX_POLL_WAIT: Duration = Duration::from_millis(50);

/// Result of one throughput measurement.
#[derive(Debug)]
pub(crate) struct LoadResult {
    pub(crate) elapsed_us: u64,
    /// Number of replies that contain an error.
    pub(crate) failed: u64,
    /// Latency of the statements that completed.
    pub(crate) latency_ns: Histogram<u64>,
}

/// Table of callers, and the systems that run over it on each wake-up.
pub(crate) struct EventLoop {
    poll: Poll,
    callers: Arena<CallerKey, Caller>,
    messages: Vec<u8>,
    read_buffer: Vec<u8>,
    readable: Vec<CallerKey>,
    replies: Vec<(CallerKey, Reply)>,
}

impl EventLoop {
    /// Opens a session for each caller and prepares the statement in it.
    pub(crate) fn open(
        address: SocketAddr,
        options: SessionOptions,
        statement: Statement,
        count: u16,
    ) -> Result<Self, BenchError> {
        let encode = BenchError::io("encode a statement");
        let preparation = statement.preparation().map_err(&encode)?;
        let messages = statement.messages().map_err(&encode)?.to_vec();
        let poll = Poll::new().map_err(BenchError::io("create the poll instance"))?;
        let mut callers = Arena::new();
        for _ in 0..count {
            interrupt::check()?;
            let mut session = Session::open(address, options)?;
            if !preparation.is_empty() {
                session.exchange("preparing a statement", &preparation)?;
            }
            let registered = register_caller(&poll, &mut callers, session);
            registered.map_err(BenchError::io("register a caller"))?;
        }
        let (read_buffer, readable, replies) = (vec![0; 16_384], Vec::new(), Vec::new());
        Ok(Self { poll, callers, messages, read_buffer, readable, replies })
    }

    /// Sends the first statement of every caller.
    pub(crate) fn start(&mut self) -> Result<(), BenchError> {
        let messages = &self.messages;
        let started =
            self.callers.iter_mut().try_for_each(|(_, caller)| caller.start_statement(messages));
        started.map_err(BenchError::io("send a statement"))
    }

    /// Keeps one statement of each caller in flight for the given duration.
    pub(crate) fn run(&mut self, duration: Duration) -> Result<LoadResult, BenchError> {
        let started_at = Instant::now();
        let deadline = started_at + duration;
        let mut events = Events::with_capacity(EVENTS_PER_WAKE_UP);
        let mut result = LoadResult { elapsed_us: 0, failed: 0, latency_ns: histogram() };
        loop {
            interrupt::check()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                result.elapsed_us = started_at.elapsed().as_micros() as u64;
                return Ok(result);
            }
            let received =
                self.wait(&mut events, remaining.min(MAX_POLL_WAIT)).and_then(|()| self.receive());
            received.map_err(BenchError::io("exchange messages with the server"))?;
            self.record(&mut result);
            self.send().map_err(BenchError::io("send a statement"))?;
        }
    }

    /// Waits for events, continues partial writes and collects the readable callers.
    fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        match self.poll.poll(events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        for event in &*events {
            let key = CallerKey::from(event.token());
            if let Some(caller) = self.callers.get_mut(key).filter(|_| event.is_writable()) {
                caller.write(&self.messages)?;
            }
            if event.is_readable() {
                self.readable.push(key);
            }
        }
        Ok(())
    }

    /// Reads from the readable callers and collects the complete replies.
    fn receive(&mut self) -> io::Result<()> {
        for key in self.readable.drain(..) {
            let Some(caller) = self.callers.get_mut(key) else { continue };
            if let Some(reply) = caller.read(&mut self.read_buffer)? {
                self.replies.push((key, reply));
            }
        }
        Ok(())
    }

    /// Adds the collected replies to the result.
    fn record(&self, result: &mut LoadResult) {
        let now = Instant::now();
        for (key, reply) in &self.replies {
            let Some(caller) = self.callers.get(*key) else { continue };
            match reply {
                Reply::Failed => result.failed += 1,
                Reply::Completed => {
                    let latency = now.saturating_duration_since(caller.sent_at);
                    result.latency_ns.saturating_record(latency.as_nanos() as u64);
                }
            }
        }
    }

    /// Sends the next statement of each caller whose reply is complete.
    fn send(&mut self) -> io::Result<()> {
        for (key, _) in self.replies.drain(..) {
            if let Some(caller) = self.callers.get_mut(key) {
                caller.start_statement(&self.messages)?;
            }
        }
        Ok(())
    }
}

fn register_caller(
    poll: &Poll,
    callers: &mut Arena<CallerKey, Caller>,
    session: Session,
) -> io::Result<()> {
    let stream = session.into_stream();
    stream.set_nonblocking(true)?;
    let key = callers.insert(Caller::new(mio::net::TcpStream::from_std(stream)));
    let Some(caller) = callers.get_mut(key) else { return Ok(()) };
    let interest = Interest::READABLE | Interest::WRITABLE;
    poll.registry().register(&mut caller.stream, key.into(), interest)
}
