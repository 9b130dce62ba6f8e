//! Failed calls to proxies.

use displaydoc::Display;

/// A failed call to the admin port of a proxy.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum AdminError {
    /// unreachable: {reason}
    Unreachable {
        /// What the connection attempt met.
        reason: String,
    },
    /// refused with status {status}: {message}
    Refused {
        /// HTTP status.
        status: u16,
        /// Start of the answer.
        message: String,
    },
    /// no usable answer: {reason}
    NoAnswer {
        /// Why the answer is not usable.
        reason: String,
    },
}
