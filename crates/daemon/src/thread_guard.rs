//! Detection of threads that end unexpectedly.

use crate::mailbox::MailboxSender;
use crate::thread_messages::ControlThreadMessage;

/// Reports the end of a thread, by return or by panic, to the control thread when it is dropped. A
/// process without one of its threads would accept connections and never respond, so the control
/// thread ends the process.
#[derive(Debug)]
pub struct ThreadGuard {
    thread: &'static str,
    control: MailboxSender<ControlThreadMessage>,
}

impl ThreadGuard {
    /// Creates a guard, which the thread must hold until it ends.
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
