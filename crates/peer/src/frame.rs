//! Frames that proxies send over links.

use bytes::{BufMut, BytesMut};
use derive_more::From;
use flamingorock_core::message::{ControlMessage, TrafficMessage};

use crate::flavor::BoundedAppend;
use crate::{CallerCancel, EncodeError, FrameBody, Hello, MAX_FRAME_BYTES};

/// A decoded frame.
#[derive(Clone, Debug, Eq, From, PartialEq)]
pub enum Frame {
    /// The first frame of the link; identifies the sender.
    Hello(Hello),
    /// A message between traffic threads.
    Traffic(TrafficMessage),
    /// A message between control threads.
    Control(ControlMessage),
    /// A cancel request whose key the receiving proxy issued.
    CallerCancel(CallerCancel),
}

/// Appends a frame with the given body to a write buffer. On error, the buffer is unchanged.
pub fn encode_frame<M: FrameBody>(message: &M, out: &mut BytesMut) -> Result<(), EncodeError> {
    let start = out.len();
    out.put_u32(0);
    out.put_u8(M::TAG as u8);
    let output = BoundedAppend::new(out, MAX_FRAME_BYTES - 1);
    if let Err(error) = postcard::serialize_with_flavor(message, output) {
        out.truncate(start);
        return Err(EncodeError::new(error, MAX_FRAME_BYTES));
    }
    let length = u32::try_from(out.len() - start - 4).expect("a frame is shorter than 4 GiB");
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}
