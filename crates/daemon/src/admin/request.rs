//! Requests of operators to the control thread.

use crossbeam::channel::Sender;

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
        /// Answer: an error message if there is no such database or instance.
        answer: Sender<Result<(), String>>,
    },
}
