//! Items that wait for room in another thread's mailbox.

use std::collections::VecDeque;

use crate::mailbox::MailboxSender;

/// Sends in order without waiting and without loss: what does not fit the receiver's mailbox is
/// kept and sent at the next flush. Traffic threads hold at most one message for each request in
/// flight, and requests are bounded by the callers and by the queues of the owners.
#[derive(Debug)]
pub struct Outbox<T> {
    sender: MailboxSender<T>,
    waiting: VecDeque<T>,
}

impl<T> Outbox<T> {
    /// Creates the outbox of a mailbox.
    #[must_use]
    pub fn new(sender: MailboxSender<T>) -> Self {
        Self { sender, waiting: VecDeque::new() }
    }

    /// Sends an item, or keeps it.
    pub fn send(&mut self, item: T) {
        if self.waiting.is_empty() {
            if let Err(item) = self.sender.try_send(item) {
                self.waiting.push_back(item);
            }
        } else {
            self.waiting.push_back(item);
        }
    }

    /// Sends an item, or drops it if the mailbox is full. For items that their sender repeats.
    /// Returns whether it was sent.
    pub fn send_or_drop(&mut self, item: T) -> bool {
        self.waiting.is_empty() && self.sender.try_send(item).is_ok()
    }

    /// Sends what has been kept. Returns whether nothing is left.
    pub fn flush(&mut self) -> bool {
        while let Some(item) = self.waiting.pop_front() {
            if let Err(item) = self.sender.try_send(item) {
                self.waiting.push_front(item);
                return false;
            }
        }
        true
    }

    /// Items that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
