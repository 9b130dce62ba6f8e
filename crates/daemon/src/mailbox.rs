//! Bounded channels between threads that wake the receiver's poll.

use std::sync::Arc;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use mio::{Registry, Token, Waker};

/// Sending side of a mailbox.
#[derive(Debug)]
pub struct MailboxSender<T> {
    channel: Sender<T>,
    waker: Arc<Waker>,
}

impl<T> Clone for MailboxSender<T> {
    fn clone(&self) -> Self {
        Self { channel: self.channel.clone(), waker: Arc::clone(&self.waker) }
    }
}

impl<T> MailboxSender<T> {
    /// Sends without waiting. Gives the item back if the mailbox is full or its thread has ended.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        match self.channel.try_send(item) {
            Ok(()) => {
                // A failed wake-up leaves the item in the channel until the next one; the only
                // known cause is a counter at its maximum, which itself wakes the receiver.
                let _ = self.waker.wake();
                Ok(())
            }
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => Err(item),
        }
    }

    /// Sends and waits for room. Only for threads that nothing waits for, such as the store
    /// threads. Returns `false` if the receiver has ended.
    pub fn send(&self, item: T) -> bool {
        let sent = self.channel.send(item).is_ok();
        let _ = self.waker.wake();
        sent
    }

    /// Items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.channel.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.channel.is_empty()
    }
}

/// Creates a mailbox whose receiver's poll reports `token` when something has been sent.
pub fn mailbox<T>(
    capacity: usize,
    registry: &Registry,
    token: Token,
) -> std::io::Result<(MailboxSender<T>, Receiver<T>)> {
    let (channel, receiver) = bounded(capacity);
    let waker = Arc::new(Waker::new(registry, token)?);
    Ok((MailboxSender { channel, waker }, receiver))
}
