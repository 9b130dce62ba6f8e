//! Frames of a link.

use bytes::{BufMut, BytesMut};
use derive_more::From;
use flamingorock_core::message::{ControlMessage, TrafficMessage};

use crate::flavor::BoundedAppend;
use crate::{CallerCancel, EncodeError, FrameBody, Hello, MAX_FRAME_BYTES};

/// A decoded frame.
#[derive(Clone, Debug, Eq, From, PartialEq)]
pub enum Frame {
    /// First frame of the link.
    Hello(Hello),
    /// A message between traffic threads.
    Traffic(TrafficMessage),
    /// A message between control threads.
    Control(ControlMessage),
    /// A cancel request for a caller of the receiver.
    CallerCancel(CallerCancel),
}

/// Appends a frame to a write buffer. Nothing is appended if that fails.
pub fn encode_frame<M: FrameBody>(message: &M, out: &mut BytesMut) -> Result<(), EncodeError> {
    let start = out.len();
    out.put_u32(0);
    out.put_u8(M::TAG as u8);
    let sink = BoundedAppend::new(out, MAX_FRAME_BYTES - 1);
    if let Err(error) = postcard::serialize_with_flavor(message, sink) {
        out.truncate(start);
        return Err(EncodeError::new(error, MAX_FRAME_BYTES));
    }
    let length = u32::try_from(out.len() - start - 4).expect("a frame is shorter than 4 GiB");
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}
