//! Faults of a connection to a backend server.

use displaydoc::Display;

/// Why a connection to a backend server cannot be used any more. The daemon closes it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BackendError {
    /// the backend server asks for authentication of type {0}; only trust is supported
    Authentication(i32),
    /// the backend server refused the connection: {sqlstate} {message}
    Refused {
        /// SQLSTATE.
        sqlstate: String,
        /// Message text.
        message: String,
    },
    /// the backend server uses {name} = {value}, with which the proxy cannot tell where strings end
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// Value found.
        value: String,
    },
    /// the answer is larger than the limit of {limit_bytes} bytes
    AnswerTooLarge {
        /// Limit.
        limit_bytes: usize,
    },
    /// the backend server started a COPY, which the proxy does not pass on
    Copy,
    /// resetting the session failed: {sqlstate} {message}
    ResetFailed {
        /// SQLSTATE.
        sqlstate: String,
        /// Message text.
        message: String,
    },
    /// message of type 0x{0:02x} is not expected at this point
    UnexpectedMessage(u8),
    /// malformed message of type 0x{0:02x}
    MalformedMessage(u8),
}

impl core::error::Error for BackendError {}
