//! Requests from the admin server to the control thread.

use crossbeam::channel::Sender;
use displaydoc::Display;
use flamingorock_core::control::ControlCounters;

/// A request from the admin server to the control thread. The channel for the response has a
/// capacity of one, so that responding never blocks.
#[derive(Debug)]
pub enum AdminRequest {
    /// Asks whether a configuration is in force and the process is not shutting down.
    Ready(Sender<bool>),
    /// Asks for the state of the control machine as JSON.
    Status(Sender<String>),
    /// Starts a graceful shutdown. It has no response.
    Drain,
    /// Requests a switchover to an instance of a database.
    Promote {
        /// Name of the database.
        database: String,
        /// Name of the instance.
        instance: String,
        /// Receives whether the request was accepted; the switchover itself follows later.
        response_sender: Sender<Result<(), PromotionRefusal>>,
    },
    /// Asks for the counters of the control machine.
    Counters(Sender<ControlCounters>),
}

/// Why a switchover is refused.
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
    /// HTTP status code of the refusal.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::UnknownDatabase(_) | Self::UnknownInstance(_) => 404,
            Self::NotOwner => 409,
        }
    }
}
