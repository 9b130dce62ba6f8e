//! Reports of threads that end.

use crate::mail::ControlMail;
use crate::mailbox::MailSender;

/// Reports to the control thread that a thread has ended, by return or by panic. A process with a
/// missing thread would accept connections and never answer; it is better replaced.
#[derive(Debug)]
pub struct ThreadGuard {
    thread: &'static str,
    control: MailSender<ControlMail>,
}

impl ThreadGuard {
    /// Creates the guard that the thread is to hold.
    #[must_use]
    pub fn new(thread: &'static str, control: MailSender<ControlMail>) -> Self {
        Self { thread, control }
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        self.control.send(ControlMail::ThreadEnded { thread: self.thread });
    }
}
