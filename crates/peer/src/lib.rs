//! Framing and encoding of messages between flamingorock proxies.
//!
//! A TCP link carries frames in one direction: a 4-byte big-endian length, a tag byte and a
//! `postcard` body. The length counts the tag and the body. The first frame of a link is a
//! [`Hello`]. Heartbeats are sent as UDP datagrams, without frames. The crate opens no sockets: it
//! reads and writes buffers of the calling code.

mod caller_cancel;
mod datagram;
mod decode_error;
mod encode_error;
mod flavor;
mod frame;
mod frame_body;
mod frame_decoder;
mod hello;

pub use caller_cancel::CallerCancel;
pub use datagram::{MAX_DATAGRAM_BYTES, decode_heartbeat, encode_heartbeat};
pub use decode_error::DecodeError;
pub use encode_error::EncodeError;
pub use frame::{Frame, encode_frame};
pub use frame_body::{FrameBody, FrameTag};
pub use frame_decoder::FrameDecoder;
pub use hello::{Hello, LinkPurpose};

/// Version of the protocol between proxies. Links and heartbeats with another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum length of a frame: tag and body, without the length prefix. The default limit of a
/// response is 16 MiB (`max_answer_bytes`); the rest is headroom for the other fields of the
/// message.
pub const MAX_FRAME_BYTES: usize = 20 * 1024 * 1024;
