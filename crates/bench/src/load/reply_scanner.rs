//! Ends of replies in a stream of bytes.

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
    /// Takes received bytes.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the next reply, if it has arrived in full.
    ///
    /// # Errors
    ///
    /// The length of a message is impossible.
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
