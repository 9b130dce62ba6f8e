//! Taking messages from the front of the received bytes.

use bytes::BytesMut;

use super::ProtocolError;
use crate::wire::{HEADER_BYTES, Header};

/// What is at the front of the received bytes.
#[derive(Debug)]
pub(crate) enum Frame {
    /// Not a whole message yet.
    Incomplete,
    /// A whole message with its header.
    Whole(u8, BytesMut),
    /// A message that is not wanted, of the given size. Its body may not have arrived.
    Unwanted(u8, usize),
    /// The connection cannot go on.
    Broken(ProtocolError),
}

/// Message types that a caller may send after its startup, other than those of `COPY`.
const KNOWN: &[u8] = b"QPBDEHSCXFdcf";

/// Message types without a body.
const WITHOUT_BODY: &[u8] = b"SHX";

/// Takes the next message. `is_wanted` sees its type; messages that are larger than the limit are
/// not wanted either, and are recognised from their header alone.
pub(crate) fn take_frame(
    buffer: &mut BytesMut,
    limit: usize,
    is_wanted: impl FnOnce(u8) -> bool,
) -> Frame {
    let Some(tag) = buffer.first().copied() else { return Frame::Incomplete };
    if !KNOWN.contains(&tag) {
        let is_password = tag == b'p';
        return Frame::Broken(if is_password {
            ProtocolError::UnexpectedMessage(tag)
        } else {
            ProtocolError::UnknownMessageType(tag)
        });
    }
    let Some(header) = Header::read(buffer) else { return Frame::Incomplete };
    let Some(size) = header.size else {
        return Frame::Broken(ProtocolError::ImpossibleLength(tag));
    };
    if size != HEADER_BYTES && WITHOUT_BODY.contains(&tag) {
        return Frame::Broken(ProtocolError::ImpossibleLength(tag));
    }
    if size > limit || !is_wanted(tag) {
        Frame::Unwanted(tag, size)
    } else if buffer.len() < size {
        Frame::Incomplete
    } else {
        Frame::Whole(tag, buffer.split_to(size))
    }
}
