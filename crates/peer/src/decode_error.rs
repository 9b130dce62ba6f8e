//! Errors of decoding.

use displaydoc::Display;

use crate::FrameTag;

/// Why bytes from a peer could not be decoded. A link that delivered them is of no further use.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DecodeError {
    /// a frame of {length_bytes} bytes is longer than the limit
    FrameTooLong {
        /// Length that the frame states.
        length_bytes: usize,
    },
    /// a frame without a tag
    MissingTag,
    /// unknown frame tag {tag}
    UnknownTag {
        /// The tag byte.
        tag: u8,
    },
    /// unexpected frame {0:?}
    UnexpectedFrame(FrameTag),
    /// protocol version {version} is not supported
    UnsupportedVersion {
        /// Version of the peer.
        version: u16,
    },
    /// malformed body of a frame {tag:?}: {reason}
    MalformedBody {
        /// What the frame carries.
        tag: FrameTag,
        /// What is wrong with it.
        reason: postcard::Error,
    },
    /// {count} bytes after the end of the message
    TrailingBytes {
        /// Number of bytes.
        count: usize,
    },
    /// malformed datagram: {0}
    MalformedDatagram(postcard::Error),
    /// the datagram states {declared_bytes} bytes and holds {received_bytes}
    DatagramLengthMismatch {
        /// Length that the datagram states.
        declared_bytes: usize,
        /// Length found.
        received_bytes: usize,
    },
}

impl core::error::Error for DecodeError {}
