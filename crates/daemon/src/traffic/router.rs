//! Routing of messages from a traffic thread to the other threads of the process.

use flamingorock_core::message::TrafficMessage;
use flamingorock_core::traffic::TrafficConfig;

use crate::mailbox::MailboxSender;
use crate::outbox::Outbox;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

/// Outboxes of one traffic thread to the other threads of the process.
#[derive(Debug)]
pub struct Router {
    config: TrafficConfig,
    threads: Vec<Outbox<TrafficThreadMessage>>,
    control: Outbox<ControlThreadMessage>,
}

impl Router {
    /// Creates the router. `threads` are the mailboxes of all traffic threads, in the order of
    /// their indexes.
    #[must_use]
    pub fn new(
        config: TrafficConfig,
        threads: Vec<MailboxSender<TrafficThreadMessage>>,
        control: MailboxSender<ControlThreadMessage>,
    ) -> Self {
        let threads = threads.into_iter().map(Outbox::new).collect();
        Self { config, threads, control: Outbox::new(control) }
    }

    /// Traffic thread that a message is for: the one that serves its database or, for a response,
    /// the one that serves the caller.
    #[must_use]
    pub fn thread_for(&self, message: &TrafficMessage) -> u8 {
        match message {
            TrafficMessage::Execute(request) => self.config.thread_of(request.database),
            TrafficMessage::Cancel { database, .. }
            | TrafficMessage::EndTransaction { database, .. } => self.config.thread_of(*database),
            TrafficMessage::Outcome { entry_thread, .. } => *entry_thread,
        }
    }

    /// Whether a thread is the router's own.
    #[must_use]
    pub fn is_own(&self, thread: u8) -> bool {
        thread == self.config.thread
    }

    /// Sends a message to another traffic thread. Drops it if the thread does not exist, which only
    /// a peer with a different number of threads or a forged cancel key can cause.
    pub fn send_to_thread(&mut self, thread: u8, message: TrafficThreadMessage) {
        if let Some(outbox) = self.threads.get_mut(usize::from(thread)) {
            outbox.send(message);
        }
    }

    /// Sends a message to all other traffic threads.
    pub fn send_to_other_threads(&mut self, build: impl Fn() -> TrafficThreadMessage) {
        for (thread, outbox) in self.threads.iter_mut().enumerate() {
            if thread != usize::from(self.config.thread) {
                outbox.send(build());
            }
        }
    }

    /// Sends a message to the control thread, queueing it if the mailbox is full.
    pub fn send_to_control(&mut self, message: ControlThreadMessage) {
        self.control.send(message);
    }

    /// Sends a message to the control thread, or drops it if the mailbox is full. Only for messages
    /// that their sender repeats. Returns whether it was sent.
    pub fn try_send_to_control(&mut self, message: ControlThreadMessage) -> bool {
        self.control.send_or_drop(message)
    }

    /// Sends messages that full mailboxes did not take before. Returns the number of messages that
    /// remain queued.
    pub fn flush(&mut self) -> usize {
        self.control.flush();
        for outbox in &mut self.threads {
            outbox.flush();
        }
        self.control.queued_len() + self.threads.iter().map(Outbox::queued_len).sum::<usize>()
    }
}
