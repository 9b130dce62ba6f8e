//! What a traffic thread is made of.

use std::sync::Arc;

use flamingorock_config::Settings;
use flamingorock_core::traffic::TrafficConfig;

use crate::clock::Clock;
use crate::mailbox::MailboxSender;
use crate::metrics::Metrics;
use crate::thread_messages::{ControlThreadMessage, TrafficThreadMessage};

/// What a traffic thread is made of.
#[derive(Clone, Debug)]
pub struct TrafficParts {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Settings of the thread's machine.
    pub config: TrafficConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Mailboxes of all traffic threads, in order.
    pub threads: Vec<MailboxSender<TrafficThreadMessage>>,
    /// Mailbox of the control thread.
    pub control: MailboxSender<ControlThreadMessage>,
}
