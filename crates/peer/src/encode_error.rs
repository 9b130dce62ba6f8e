//! Errors of encoding.

use displaydoc::Display;

/// Why a message could not be encoded. The output buffer is unchanged.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EncodeError {
    /// the message is larger than {limit_bytes} bytes
    TooLarge {
        /// Greatest size.
        limit_bytes: usize,
    },
    /// the message cannot be represented: {0}
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
