//! Framing of answers without decoding their rows.

use bytes::{Buf, Bytes, BytesMut};
use flamingorock_core::TransactionStatus;

use super::BackendError;
use crate::wire::{HEADER_BYTES, Header, Reader, status_of};

/// A whole answer, up to and including `ReadyForQuery`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Answer {
    pub(super) bytes: Bytes,
    pub(super) status: TransactionStatus,
    pub(super) failed: bool,
}

/// Progress through an answer at the front of the received bytes.
#[derive(Debug, Default)]
pub(super) struct AnswerScan {
    /// Where the next header is; it may not have been received yet.
    next: usize,
    failed: bool,
}

impl AnswerScan {
    /// Looks at the headers that have arrived since the last call. Returns the answer when it is
    /// whole, and forgets it.
    pub(super) fn advance(
        &mut self,
        buffer: &mut BytesMut,
        limit_bytes: usize,
    ) -> Result<Option<Answer>, BackendError> {
        while let Some(header) = buffer.get(self.next..).and_then(Header::read) {
            let Some(size) = header.size else {
                return Err(BackendError::MalformedMessage(header.tag));
            };
            let end = self.next + size;
            if end > limit_bytes {
                return Err(BackendError::AnswerTooLarge { limit_bytes });
            }
            match header.tag {
                b'S' | b'A' if buffer.len() < end => return Ok(None),
                b'S' | b'A' => {
                    remove(buffer, self.next, size);
                    continue;
                }
                b'Z' if buffer.len() < end => return Ok(None),
                b'Z' => return self.finish(buffer, end, size).map(Some),
                tag => self.see(tag)?,
            }
            self.next = end;
        }
        Ok(None)
    }

    fn see(&mut self, tag: u8) -> Result<(), BackendError> {
        match tag {
            b'E' => self.failed = true,
            b'G' | b'H' | b'W' => return Err(BackendError::Copy),
            b'1' | b'2' | b'3' | b'C' | b'D' | b'I' | b'N' | b'T' | b'n' | b's' | b't' => {}
            _ => return Err(BackendError::UnexpectedMessage(tag)),
        }
        Ok(())
    }

    fn finish(
        &mut self,
        buffer: &mut BytesMut,
        end: usize,
        size: usize,
    ) -> Result<Answer, BackendError> {
        let status = (size == HEADER_BYTES + 1).then(|| status_of(buffer[end - 1])).flatten();
        let status = status.ok_or(BackendError::MalformedMessage(b'Z'))?;
        let failed = core::mem::take(self).failed;
        Ok(Answer { bytes: buffer.split_to(end).freeze(), status, failed })
    }
}

/// Removes a message that has been received, which moves what follows it.
fn remove(buffer: &mut BytesMut, start: usize, size: usize) {
    let mut tail = buffer.split_off(start);
    tail.advance(size);
    if start == 0 {
        *buffer = tail;
    } else {
        buffer.unsplit(tail);
    }
}

/// SQLSTATE and text of an `ErrorResponse` body; empty where a field is missing.
pub(crate) fn error_fields(body: &[u8]) -> (String, String) {
    let mut reader = Reader::new(body);
    let (mut sqlstate, mut message) = (String::new(), String::new());
    while let Some(code) = reader.u8().filter(|code| *code != 0) {
        let Some(value) = reader.string() else { break };
        match code {
            b'C' => sqlstate = String::from_utf8_lossy(value).into_owned(),
            b'M' => message = String::from_utf8_lossy(value).into_owned(),
            _ => {}
        }
    }
    (sqlstate, message)
}
