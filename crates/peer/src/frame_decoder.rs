//! Decoder for the frames of a link.

use bytes::{Buf, BytesMut};
use serde::Deserialize;

use crate::{DecodeError, Frame, FrameTag, Hello, LinkPurpose, MAX_FRAME_BYTES, PROTOCOL_VERSION};

/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// Decodes the frames of one link. After an error the link must be closed, because the start of the
/// next frame is unknown.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameDecoder {
    hello: Option<Hello>,
}

impl FrameDecoder {
    /// Creates a decoder for a new link, whose first frame must be a [`Hello`].
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The first frame of the link; `None` until it has been decoded.
    #[must_use]
    pub fn hello(&self) -> Option<Hello> {
        self.hello
    }

    /// Removes the next frame from the front of a read buffer and decodes it. Returns `None` and
    /// leaves the buffer unchanged if the frame is incomplete.
    pub fn next_frame(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, DecodeError> {
        let Some(prefix) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length_bytes = u32::from_be_bytes(*prefix) as usize;
        if length_bytes > MAX_FRAME_BYTES {
            return Err(DecodeError::FrameTooLong { length_bytes });
        }
        // An unidentified sender must not be able to make the receiver buffer a large frame.
        if self.hello.is_none() && length_bytes > MAX_HELLO_BYTES {
            return Err(DecodeError::FrameTooLong { length_bytes });
        }
        let frame_end = LENGTH_BYTES + length_bytes;
        if input.len() < frame_end {
            return Ok(None);
        }
        let frame = self.decode(&input[LENGTH_BYTES..frame_end])?;
        input.advance(frame_end);
        Ok(Some(frame))
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<Frame, DecodeError> {
        let (&byte, body) = bytes.split_first().ok_or(DecodeError::MissingTag)?;
        let tag = FrameTag::from_byte(byte).ok_or(DecodeError::UnknownTag { tag: byte })?;
        match (self.hello.map(|hello| hello.purpose), tag) {
            (None, FrameTag::Hello) => self.decode_hello(body),
            (Some(LinkPurpose::Traffic { .. }), FrameTag::Traffic) => {
                decode_body(tag, body).map(Frame::Traffic)
            }
            (Some(LinkPurpose::Traffic { .. }), FrameTag::CallerCancel) => {
                decode_body(tag, body).map(Frame::CallerCancel)
            }
            (Some(LinkPurpose::Control), FrameTag::Control) => {
                decode_body(tag, body).map(Frame::Control)
            }
            _ => Err(DecodeError::UnexpectedFrame(tag)),
        }
    }

    /// Decodes the first frame. The version is checked before the other fields are decoded, because
    /// their layout may differ in another version.
    fn decode_hello(&mut self, body: &[u8]) -> Result<Frame, DecodeError> {
        let (version, _) = postcard::take_from_bytes::<u16>(body)
            .map_err(|reason| DecodeError::MalformedBody { tag: FrameTag::Hello, reason })?;
        if version != PROTOCOL_VERSION {
            return Err(DecodeError::UnsupportedVersion { version });
        }
        let hello: Hello = decode_body(FrameTag::Hello, body)?;
        self.hello = Some(hello);
        Ok(Frame::Hello(hello))
    }
}

/// Maximum length of the first frame in every protocol version.
const MAX_HELLO_BYTES: usize = 256;

/// Decodes the body of a frame. Trailing bytes are an error.
fn decode_body<'a, M: Deserialize<'a>>(tag: FrameTag, body: &'a [u8]) -> Result<M, DecodeError> {
    let (message, rest) = postcard::take_from_bytes(body)
        .map_err(|reason| DecodeError::MalformedBody { tag, reason })?;
    match rest.len() {
        0 => Ok(message),
        count => Err(DecodeError::TrailingBytes { count }),
    }
}
