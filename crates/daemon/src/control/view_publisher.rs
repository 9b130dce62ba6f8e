//! Publication of views to the traffic threads.

use std::sync::Arc;

use flamingorock_core::View;

use crate::mailbox::MailboxSender;
use crate::thread_messages::TrafficThreadMessage;

/// Publishes views to the traffic threads. A thread whose mailbox is full gets the newest view
/// later and never sees the ones in between: a view replaces all earlier ones.
#[derive(Debug)]
pub struct ViewPublisher {
    threads: Vec<(MailboxSender<TrafficThreadMessage>, Option<Arc<View>>)>,
}

impl ViewPublisher {
    /// Creates the publisher.
    #[must_use]
    pub fn new(threads: Vec<MailboxSender<TrafficThreadMessage>>) -> Self {
        Self { threads: threads.into_iter().map(|sender| (sender, None)).collect() }
    }

    /// Publishes a view to all threads.
    pub fn publish(&mut self, view: &Arc<View>) {
        for (_, waiting) in &mut self.threads {
            *waiting = Some(Arc::clone(view));
        }
        self.flush();
    }

    /// Sends what did not fit before. Returns whether all threads have the newest view.
    pub fn flush(&mut self) -> bool {
        let mut all_sent = true;
        for (sender, waiting) in &mut self.threads {
            let Some(view) = waiting.take() else { continue };
            if sender.try_send(TrafficThreadMessage::View(Arc::clone(&view))).is_err() {
                *waiting = Some(view);
                all_sent = false;
            }
        }
        all_sent
    }
}
