//! Detection of complete replies in a byte stream.

use std::io;

use bytes::{Buf, BytesMut};
use postgres_protocol::message::backend::{ERROR_RESPONSE_TAG, Header, READY_FOR_QUERY_TAG};

/// Finds the ends of replies without decoding their contents.
#[derive(Debug, Default)]
pub struct ReplyScanner {
    bytes: BytesMut,
    has_error: bool,
}

/// A reply that has arrived in full.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The statement completed without an error.
    Completed,
    /// The reply contains an `ErrorResponse`.
    Failed,
}

impl ReplyScanner {
    /// Appends received bytes to the buffer.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes the next complete reply from the buffer.
    ///
    /// # Errors
    ///
    /// A message declares an invalid length.
    pub fn next_reply(&mut self) -> io::Result<Option<Reply>> {
        while let Some(header) = Header::parse(&self.bytes)? {
            // The length of a message does not count its tag.
            let size = 1 + header.len() as usize;
            if self.bytes.len() < size {
                break;
            }
            self.bytes.advance(size);
            match header.tag() {
                ERROR_RESPONSE_TAG => self.has_error = true,
                READY_FOR_QUERY_TAG if core::mem::take(&mut self.has_error) => {
                    return Ok(Some(Reply::Failed));
                }
                READY_FOR_QUERY_TAG => return Ok(Some(Reply::Completed)),
                _ => {}
            }
        }
        Ok(None)
    }
}
