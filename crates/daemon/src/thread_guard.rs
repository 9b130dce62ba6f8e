//! Reports of threads that end.

use crate::mailbox::MailboxSender;
use crate::thread_messages::ControlThreadMessage;

/// Reports to the control thread that a thread has ended, by return or by panic. A process with a
/// missing thread would accept connections and never answer; it is better replaced.
#[derive(Debug)]
pub struct ThreadGuard {
    thread: &'static str,
    control: MailboxSender<ControlThreadMessage>,
}

impl ThreadGuard {
    /// Creates the guard that the thread is to hold.
    #[must_use]
    pub fn new(thread: &'static str, control: MailboxSender<ControlThreadMessage>) -> Self {
        Self { thread, control }
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        self.control.send(ControlThreadMessage::ThreadEnded { thread: self.thread });
    }
}
