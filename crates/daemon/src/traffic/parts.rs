//! Parameters of a traffic thread.

use std::sync::Arc;

use flamingorock_config::Settings;
use flamingorock_core::traffic::TrafficConfig;

use crate::clock::Clock;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

/// Parameters of a traffic thread.
#[derive(Clone, Debug)]
pub struct TrafficParts {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Configuration of the thread's state machine, with the host and the thread's index.
    pub config: TrafficConfig,
    /// Clock that all threads share.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Mailboxes of all traffic threads, in the order of their indexes; its own is one of them.
    pub threads: Vec<MailboxSender<TrafficThreadMessage>>,
    /// Mailbox of the control thread.
    pub control: MailboxSender<ControlThreadMessage>,
}
