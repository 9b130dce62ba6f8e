//! Errors of calls to the platform's services.

use derive_more::Error;
use displaydoc::Display;

use crate::Effect;

/// Why a call to the key-value service or the host list failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// {url} is unreachable: {reason}
    Unreachable {
        /// URL of the service.
        url: String,
        /// Error of the connection attempt.
        reason: String,
    },
    /// {url} refused the call with status {status}: {message}
    Refused {
        /// URL of the service.
        url: String,
        /// HTTP status, 300 to 499.
        status: u16,
        /// Beginning of the response body.
        message: String,
    },
    /// key {key:?} is not allowed: letters, digits, -, _ and / only
    InvalidKey {
        /// The key.
        key: String,
    },
    /// value of key {key} has {size_bytes} bytes, at most {limit_bytes} are allowed
    TooLarge {
        /// The key.
        key: String,
        /// Size of the value.
        size_bytes: usize,
        /// Maximum size.
        limit_bytes: usize,
    },
    /// the deadline passed before the call to {url} started
    DeadlinePassed {
        /// URL of the service.
        url: String,
    },
    /// no usable response from {url}, the call may have taken effect: {reason}
    NoResponse {
        /// URL of the service.
        url: String,
        /// Why there is no response, or why it cannot be decoded.
        reason: String,
    },
    /// value of key {key} cannot be decoded: {reason}
    InvalidValue {
        /// The key.
        key: String,
        /// Error of the JSON decoder.
        reason: String,
    },
}

impl StoreError {
    /// Whether the failed call may have changed the store.
    #[must_use]
    pub fn effect(&self) -> Effect {
        match self {
            Self::NoResponse { .. } => Effect::Unknown,
            Self::Unreachable { .. }
            | Self::Refused { .. }
            | Self::InvalidKey { .. }
            | Self::TooLarge { .. }
            | Self::DeadlinePassed { .. }
            | Self::InvalidValue { .. } => Effect::None,
        }
    }
}
