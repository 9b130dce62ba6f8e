//! Mailboxes: bounded channels between threads that wake the receiver's poll.

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
    /// Sends without blocking. Returns the item as the error if the mailbox is full or the receiver
    /// has been dropped.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        match self.channel.try_send(item) {
            Ok(()) => {
                // If the wake-up fails, the item stays in the channel until the next one. The only
                // known cause is an eventfd counter at its maximum, which wakes the receiver by
                // itself.
                let _ = self.waker.wake();
                Ok(())
            }
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => Err(item),
        }
    }

    /// Sends, and blocks while the mailbox is full. Only for threads that may block, such as the
    /// store threads: no other thread waits for them. Returns `false` if the receiver has been
    /// dropped.
    pub fn send(&self, item: T) -> bool {
        let sent = self.channel.send(item).is_ok();
        let _ = self.waker.wake();
        sent
    }

    /// Number of items in the mailbox.
    #[must_use]
    pub fn len(&self) -> usize {
        self.channel.len()
    }

    /// Whether the mailbox is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.channel.is_empty()
    }
}

/// Creates a mailbox for `capacity` items. The poll of `registry` reports `token` when an item has
/// been sent.
pub fn mailbox<T>(
    capacity: usize,
    registry: &Registry,
    token: Token,
) -> std::io::Result<(MailboxSender<T>, Receiver<T>)> {
    let (channel, receiver) = bounded(capacity);
    let waker = Arc::new(Waker::new(registry, token)?);
    Ok((MailboxSender { channel, waker }, receiver))
}
