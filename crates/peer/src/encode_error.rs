//! Errors of encoding frames and datagrams.

use displaydoc::Display;

/// Why a message could not be encoded. Nothing of the message is left in the output buffer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EncodeError {
    /// the encoded message is larger than {limit_bytes} bytes
    TooLarge {
        /// Maximum size of a whole frame or datagram.
        limit_bytes: usize,
    },
    /// the message cannot be encoded: {0}
    Unsupported(postcard::Error),
}

impl core::error::Error for EncodeError {}

impl EncodeError {
    pub(crate) fn new(error: postcard::Error, limit_bytes: usize) -> Self {
        match error {
            postcard::Error::SerializeBufferFull => Self::TooLarge { limit_bytes },
            other => Self::Unsupported(other),
        }
    }
}
