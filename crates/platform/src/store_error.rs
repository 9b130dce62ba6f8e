//! Failed calls to the platform.

use derive_more::Error;
use displaydoc::Display;

use crate::Effect;

/// A failed call to the key-value service or the host list.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// {url} is unreachable: {reason}
    Unreachable {
        /// Address of the service.
        url: String,
        /// What the connection attempt met.
        reason: String,
    },
    /// {url} refused the call with status {status}: {message}
    Refused {
        /// Address of the service.
        url: String,
        /// HTTP status, 300 to 499.
        status: u16,
        /// Start of the answer.
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
        /// Greatest size.
        limit_bytes: usize,
    },
    /// the deadline passed before the call to {url} started
    DeadlinePassed {
        /// Address of the service.
        url: String,
    },
    /// no usable answer from {url}, the call may have taken effect: {reason}
    NoResponse {
        /// Address of the service.
        url: String,
        /// Why the answer is not usable.
        reason: String,
    },
    /// value of key {key} cannot be read: {reason}
    InvalidValue {
        /// The key.
        key: String,
        /// Why.
        reason: String,
    },
}

impl StoreError {
    /// What the call may have done.
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
