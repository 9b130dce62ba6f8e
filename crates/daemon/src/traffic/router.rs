//! Ways from one traffic thread to the other threads of the process.

use flamingorock_core::message::TrafficMessage;
use flamingorock_core::traffic::TrafficConfig;

use crate::mailbox::MailboxSender;
use crate::outbox::Outbox;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

/// Ways from one traffic thread to the other threads of the process.
#[derive(Debug)]
pub struct Router {
    config: TrafficConfig,
    threads: Vec<Outbox<TrafficThreadMessage>>,
    control: Outbox<ControlThreadMessage>,
}

impl Router {
    /// Creates the router. `threads` are the mailboxes of all traffic threads, in order.
    #[must_use]
    pub fn new(
        config: TrafficConfig,
        threads: Vec<MailboxSender<TrafficThreadMessage>>,
        control: MailboxSender<ControlThreadMessage>,
    ) -> Self {
        let threads = threads.into_iter().map(Outbox::new).collect();
        Self { config, threads, control: Outbox::new(control) }
    }

    /// Traffic thread that a message is for: the one that serves its database, or the one whose
    /// caller waits for the answer.
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

    /// Sends to another traffic thread. A thread that does not exist can only be named by a peer
    /// with other settings; the message is dropped.
    pub fn send_to_thread(&mut self, thread: u8, mail: TrafficThreadMessage) {
        if let Some(outbox) = self.threads.get_mut(usize::from(thread)) {
            outbox.send(mail);
        }
    }

    /// Sends to all other traffic threads.
    pub fn send_to_other_threads(&mut self, build: impl Fn() -> TrafficThreadMessage) {
        for (thread, outbox) in self.threads.iter_mut().enumerate() {
            if thread != usize::from(self.config.thread) {
                outbox.send(build());
            }
        }
    }

    /// Sends to the control thread.
    pub fn send_to_control(&mut self, mail: ControlThreadMessage) {
        self.control.send(mail);
    }

    /// Sends to the control thread, or drops the message if there is no room. Only for messages
    /// that their sender repeats. Returns whether it was sent.
    pub fn offer_to_control(&mut self, mail: ControlThreadMessage) -> bool {
        self.control.send_or_drop(mail)
    }

    /// Sends what did not fit before. Returns the number of messages that still wait.
    pub fn flush(&mut self) -> usize {
        self.control.flush();
        for outbox in &mut self.threads {
            outbox.flush();
        }
        self.control.queued_len() + self.threads.iter().map(Outbox::queued_len).sum::<usize>()
    }
}
