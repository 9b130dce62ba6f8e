//! Queue in front of another thread's mailbox.

use std::collections::VecDeque;

use crate::mailbox::MailboxSender;

/// Sends in order, without blocking and without loss: items that do not fit the receiver's mailbox
/// are queued and sent at a later flush. The queue needs no limit of its own: traffic threads queue
/// at most one message for each request in flight, and requests are limited by the number of
/// callers and by the queues of the owners.
#[derive(Debug)]
pub struct Outbox<T> {
    sender: MailboxSender<T>,
    queue: VecDeque<T>,
}

impl<T> Outbox<T> {
    /// Creates the outbox for a mailbox.
    #[must_use]
    pub fn new(sender: MailboxSender<T>) -> Self {
        Self { sender, queue: VecDeque::new() }
    }

    /// Sends an item, or queues it if the mailbox is full.
    pub fn send(&mut self, item: T) {
        if self.queue.is_empty() {
            if let Err(item) = self.sender.try_send(item) {
                self.queue.push_back(item);
            }
        } else {
            self.queue.push_back(item);
        }
    }

    /// Sends an item, or drops it if the mailbox is full or items are queued. Only for items that
    /// are sent again later. Returns whether the item was sent.
    pub fn send_or_drop(&mut self, item: T) -> bool {
        self.queue.is_empty() && self.sender.try_send(item).is_ok()
    }

    /// Sends queued items while they fit. Returns whether the queue is empty.
    pub fn flush(&mut self) -> bool {
        while let Some(item) = self.queue.pop_front() {
            if let Err(item) = self.sender.try_send(item) {
                self.queue.push_front(item);
                return false;
            }
        }
        true
    }

    /// Number of queued items.
    #[must_use]
    pub fn queued_len(&self) -> usize {
        self.queue.len()
    }
}
