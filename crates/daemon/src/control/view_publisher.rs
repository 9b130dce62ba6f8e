//! Publication of views to the traffic threads.

use std::sync::Arc;

use flamingorock_core::View;

use crate::mailbox::MailboxSender;
use crate::thread_messages::TrafficThreadMessage;

/// Publishes views to the traffic threads. A thread whose mailbox is full gets only the newest view
/// later, which is enough because a view replaces all earlier ones.
#[derive(Debug)]
pub struct ViewPublisher {
    /// Mailbox of each thread, and the view that it did not take yet.
    threads: Vec<(MailboxSender<TrafficThreadMessage>, Option<Arc<View>>)>,
}

impl ViewPublisher {
    /// Creates the publisher for the given mailboxes of traffic threads.
    #[must_use]
    pub fn new(threads: Vec<MailboxSender<TrafficThreadMessage>>) -> Self {
        Self { threads: threads.into_iter().map(|sender| (sender, None)).collect() }
    }

    /// Sends a view to all threads, or keeps it for those whose mailbox is full.
    pub fn publish(&mut self, view: &Arc<View>) {
        for (_, unsent) in &mut self.threads {
            *unsent = Some(Arc::clone(view));
        }
        self.flush();
    }

    /// Sends the views that full mailboxes did not take before. Returns whether all threads have
    /// the newest view.
    pub fn flush(&mut self) -> bool {
        let mut all_sent = true;
        for (sender, unsent) in &mut self.threads {
            let Some(view) = unsent.take() else { continue };
            if sender.try_send(TrafficThreadMessage::View(Arc::clone(&view))).is_err() {
                *unsent = Some(view);
                all_sent = false;
            }
        }
        all_sent
    }
}
