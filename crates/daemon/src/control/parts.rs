//! Parameters of the control thread.

use std::sync::Arc;

use flamingorock_config::Settings;
use flamingorock_core::control::Control;

use crate::clock::Clock;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::TrafficThreadMessage;

use super::StorePool;

/// Parameters of the control thread.
pub struct ControlParts {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// State machine that the thread runs.
    pub machine: Control,
    /// Clock that all threads share.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Mailboxes of the traffic threads, which receive the views.
    pub traffic: Vec<MailboxSender<TrafficThreadMessage>>,
    /// Threads for blocking calls to the key-value service.
    pub store: StorePool,
}
