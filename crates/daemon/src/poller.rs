//! Waiting for events.

use std::io::{self, ErrorKind};

use crossbeam::channel::Receiver;
use mio::event::Event;
use mio::{Events, Poll, Registry, Token};

use crate::clock::Clock;
use crate::mailbox::{MailboxSender, mailbox};

/// Token of the mailbox.
pub const MAILBOX: Token = Token(0);

const EVENTS_PER_WAKE_UP: usize = 1024;

/// A socket or another source that is ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The source.
    pub token: Token,
    /// Whether it may have to be read to its end, see [`Scratch::read_until_would_block`](crate::net::Scratch).
    pub read_until_would_block: bool,
}

impl From<&Event> for Ready {
    fn from(event: &Event) -> Self {
        let read_until_would_block = event.is_read_closed() || event.is_error();
        Self { token: event.token(), read_until_would_block }
    }
}

impl From<Token> for Ready {
    /// A source that was not read to its end before.
    fn from(token: Token) -> Self {
        Self { token, read_until_would_block: true }
    }
}

/// The poll of a thread with its mailbox. It is created before the threads start, so that each can
/// be given the mailboxes of the others.
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
    /// The system is out of file descriptors.
    pub fn new(capacity: usize) -> io::Result<Self> {
        let poll = Poll::new()?;
        let (sender, receiver) = mailbox(capacity, poll.registry(), MAILBOX)?;
        Ok(Self { poll, events: Events::with_capacity(EVENTS_PER_WAKE_UP), sender, receiver })
    }

    /// Sending side of the mailbox.
    #[must_use]
    pub fn sender(&self) -> MailboxSender<T> {
        self.sender.clone()
    }

    /// A registry for the thread's sockets.
    ///
    /// # Errors
    ///
    /// The system is out of file descriptors.
    pub fn registry(&self) -> io::Result<Registry> {
        self.poll.registry().try_clone()
    }

    /// Waits for events, at most until a deadline if there is one, and returns what is ready.
    pub fn wait(&mut self, clock: Clock, deadline_us: Option<u64>, ready: &mut Vec<Ready>) {
        ready.clear();
        let timeout = deadline_us.map(|deadline_us| clock.until(deadline_us));
        match self.poll.poll(&mut self.events, timeout) {
            Ok(()) => ready.extend(self.events.iter().map(Ready::from)),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("the poll of this thread is unusable: {error}"),
        }
    }

    /// Takes a message that waits in the mailbox.
    #[must_use]
    pub fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok()
    }
}
