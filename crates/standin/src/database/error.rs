//! Errors of the database stand-in.

use derive_more::{Display, Error};

/// Error that a statement ends with.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{sqlstate}: {message}")]
pub(crate) struct SqlError {
    /// Five-character code of the PostgreSQL manual, appendix A.
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
}

impl SqlError {
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self { sqlstate, message: message.into() }
    }

    /// Error for text that the parser does not accept.
    pub(crate) fn syntax(message: impl Into<String>) -> Self {
        Self::new("42601", message)
    }

    /// Error for a write on an instance that is not the primary.
    pub(crate) fn read_only() -> Self {
        Self::new("25006", "cannot execute a write in a read-only transaction")
    }
}

/// Reason for which a connection is closed.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum ConnectionError {
    /// connection failed: {0}
    Io(std::io::Error),
    /// message of the client is malformed: {0}
    Protocol(String),
    /// connection broken by the fault drop_answer
    AnswerDropped,
    /// instance has been stopped
    Stopped,
}

impl std::error::Error for ConnectionError {}

impl From<std::io::Error> for ConnectionError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
