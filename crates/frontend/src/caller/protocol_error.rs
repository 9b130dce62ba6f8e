//! Violations of the protocol by callers.

use displaydoc::Display;
use flamingorock_core::ResultCode;

use crate::refusal::Refusal;

/// What a caller sent against the protocol, or what the proxy cannot accept of it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProtocolError {
    /// malformed startup message
    MalformedStartup,
    /// the startup message of {0} bytes is longer than 10000 bytes
    StartupTooLarge(usize),
    /// protocol version {major}.{minor} is not supported; the proxy speaks 3.0
    UnsupportedVersion {
        /// Major version asked for.
        major: u16,
        /// Minor version asked for.
        minor: u16,
    },
    /// replication connections are not supported
    Replication,
    /// malformed cancel request
    MalformedCancel,
    /// unknown message type 0x{0:02x}
    UnknownMessageType(u8),
    /// message type 0x{0:02x} is not expected at this point
    UnexpectedMessage(u8),
    /// impossible length of a message of type 0x{0:02x}
    ImpossibleLength(u8),
    /// malformed message of type 0x{0:02x}
    MalformedMessage(u8),
    /// the message of {size_bytes} bytes is larger than the limit of {limit_bytes} bytes
    MessageTooLarge {
        /// Size of the message.
        size_bytes: usize,
        /// Limit.
        limit_bytes: usize,
    },
    /// the messages up to Sync are larger than the limit of {0} bytes
    RequestTooLarge(usize),
    /// there are more than {0} messages up to Sync
    TooManyMessages(usize),
    /// a simple query follows extended messages without Sync
    QueryWithoutSync,
}

impl core::error::Error for ProtocolError {}

impl ProtocolError {
    /// Result code of the refusal that the caller gets.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::MessageTooLarge { .. } | Self::RequestTooLarge(_) | Self::TooManyMessages(_) => {
                ResultCode::RequestTooLarge
            }
            Self::Replication | Self::UnsupportedVersion { .. } => ResultCode::Unsupported,
            _ => ResultCode::ProtocolViolation,
        }
    }

    /// Whether the boundaries of the following messages are still known, so that only the request
    /// is refused.
    #[must_use]
    pub fn can_go_on(&self) -> bool {
        matches!(
            self,
            Self::MalformedMessage(_)
                | Self::MessageTooLarge { .. }
                | Self::RequestTooLarge(_)
                | Self::TooManyMessages(_)
                | Self::QueryWithoutSync
        )
    }

    pub(crate) fn refusal(&self) -> Refusal {
        let hint = match self {
            Self::UnsupportedVersion { .. } => Some("Use a driver that speaks version 3.0."),
            Self::Replication => Some("Connect to the backend server directly."),
            _ => None,
        };
        Refusal { hint, ..Refusal::new(self.code(), self.to_string()) }
    }
}
