//! Requests of operators to the control thread.

use crossbeam::channel::Sender;
use displaydoc::Display;
use flamingorock_core::control::ControlCounters;

/// A request of an operator to the control thread. Each has a channel for the answer, which holds
/// one item, so that answering never waits.
#[derive(Debug)]
pub enum AdminRequest {
    /// Whether a configuration is in force and the process is not shutting down.
    Ready(Sender<bool>),
    /// The state of the control machine as JSON.
    Status(Sender<String>),
    /// Shut down gracefully.
    Drain,
    /// Make an instance the primary of its database.
    Promote {
        /// Name of the database.
        database: String,
        /// Name of the instance.
        instance: String,
        /// Answer.
        answer: Sender<Result<(), PromotionRefusal>>,
    },
    /// Counters of the control machine.
    Counters(Sender<ControlCounters>),
}

/// Why a planned change of primary is refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PromotionRefusal {
    /// there is no database "{0}"
    UnknownDatabase(String),
    /// the database has no instance "{0}"
    UnknownInstance(String),
    /// this proxy does not own the database
    NotOwner,
}

impl PromotionRefusal {
    /// HTTP status of the refusal.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::UnknownDatabase(_) | Self::UnknownInstance(_) => 404,
            Self::NotOwner => 409,
        }
    }
}
