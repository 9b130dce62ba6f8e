//! What a control thread is made of.

use std::sync::Arc;

use flamingorock_config::Settings;
use flamingorock_core::control::Control;

use crate::clock::Clock;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::TrafficThreadMessage;

use super::StorePool;

/// What a control thread is made of.
pub struct ControlParts {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// The control machine.
    pub machine: Control,
    /// Clock of the process.
    pub clock: Clock,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Mailboxes of the traffic threads.
    pub traffic: Vec<MailboxSender<TrafficThreadMessage>>,
    /// Threads for calls to the platform.
    pub store: StorePool,
}
