//! The poll of a thread.

use std::io::{self, ErrorKind};

use crossbeam::channel::Receiver;
use mio::event::Event;
use mio::{Events, Poll, Registry, Token};

use crate::clock::Clock;
use crate::mailbox::{MailboxSender, mailbox};

/// Token with which a poll reports its mailbox.
pub const MAILBOX: Token = Token(0);

/// Limit of events that one wait returns. The others are returned by the next wait.
const MAX_EVENTS_PER_WAIT: usize = 1024;

/// Readiness of a socket or of another source.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Token of the source.
    pub token: Token,
    /// Whether the source must be read until it would block, see
    /// [`Scratch::read_until_would_block`](crate::net::Scratch).
    pub read_until_would_block: bool,
}

impl From<&Event> for Ready {
    fn from(event: &Event) -> Self {
        let read_until_would_block = event.is_read_closed() || event.is_error();
        Self { token: event.token(), read_until_would_block }
    }
}

impl From<Token> for Ready {
    /// Readiness of a source whose pending reads were cut short by the read budget.
    fn from(token: Token) -> Self {
        Self { token, read_until_would_block: true }
    }
}

/// Poll and mailbox of a thread. It is created before the threads start, so that each thread can
/// get the senders of the others' mailboxes.
#[derive(Debug)]
pub struct Poller<T> {
    poll: Poll,
    events: Events,
    sender: MailboxSender<T>,
    receiver: Receiver<T>,
}

impl<T> Poller<T> {
    /// Creates a poll and a mailbox that holds `capacity` messages.
    ///
    /// # Errors
    ///
    /// The process is out of file descriptors.
    pub fn new(capacity: usize) -> io::Result<Self> {
        let poll = Poll::new()?;
        let (sender, receiver) = mailbox(capacity, poll.registry(), MAILBOX)?;
        Ok(Self { poll, events: Events::with_capacity(MAX_EVENTS_PER_WAIT), sender, receiver })
    }

    /// Creates a sender to the mailbox.
    #[must_use]
    pub fn sender(&self) -> MailboxSender<T> {
        self.sender.clone()
    }

    /// Returns the registry for the thread's sockets.
    ///
    /// # Errors
    ///
    /// The process is out of file descriptors.
    pub fn registry(&self) -> io::Result<Registry> {
        self.poll.registry().try_clone()
    }

    /// Blocks until a source is ready or the deadline has passed. Stores the ready sources in
    /// `ready`, which is empty after a timeout or a signal.
    pub fn wait(&mut self, clock: Clock, deadline_us: Option<u64>, ready: &mut Vec<Ready>) {
        ready.clear();
        let timeout = deadline_us.map(|deadline_us| clock.until(deadline_us));
        match self.poll.poll(&mut self.events, timeout) {
            Ok(()) => ready.extend(self.events.iter().map(Ready::from)),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("the poll of this thread is unusable: {error}"),
        }
    }

    /// Takes the next message out of the mailbox; `None` if it is empty.
    #[must_use]
    pub fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok()
    }
}
