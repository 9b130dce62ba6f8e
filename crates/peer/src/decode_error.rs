//! Errors of decoding frames and datagrams.

use displaydoc::Display;

use crate::FrameTag;

/// Why bytes from another proxy could not be decoded. After an error in a frame, the link must be
/// closed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DecodeError {
    /// frame of {length_bytes} bytes exceeds the limit
    FrameTooLong {
        /// Length in the frame's header.
        length_bytes: usize,
    },
    /// frame without a tag
    MissingTag,
    /// unknown frame tag {tag}
    UnknownTag {
        /// The tag byte.
        tag: u8,
    },
    /// unexpected {0:?} frame
    UnexpectedFrame(FrameTag),
    /// protocol version {version} is not supported
    UnsupportedVersion {
        /// Protocol version of the sender.
        version: u16,
    },
    /// malformed body of a {tag:?} frame: {reason}
    MalformedBody {
        /// Tag of the frame.
        tag: FrameTag,
        /// Error of the `postcard` decoder.
        reason: postcard::Error,
    },
    /// {count} trailing bytes after the message
    TrailingBytes {
        /// Number of trailing bytes.
        count: usize,
    },
    /// malformed datagram: {0}
    MalformedDatagram(postcard::Error),
    /// the datagram declares {declared_bytes} bytes and contains {received_bytes}
    DatagramLengthMismatch {
        /// Body length in the datagram's header; the header's own size if the datagram is shorter
        /// than a header.
        declared_bytes: usize,
        /// Size of the received body, or of the datagram if it is shorter than a header.
        received_bytes: usize,
    },
}

impl core::error::Error for DecodeError {}
