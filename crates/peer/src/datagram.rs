//! Heartbeat datagrams: a 2-byte protocol version, a 2-byte body length, both big-endian, and a
//! `postcard` body.

use bytes::{BufMut, BytesMut};
use flamingorock_core::message::Heartbeat;

use crate::flavor::BoundedAppend;
use crate::{DecodeError, EncodeError, PROTOCOL_VERSION};

/// Size of the protocol version and the body length.
const HEADER_BYTES: usize = 4;

/// Maximum size of a datagram: the largest UDP payload over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Replaces the contents of `out` with the datagram of a heartbeat. On error, `out` is empty.
pub fn encode_heartbeat(heartbeat: &Heartbeat, out: &mut BytesMut) -> Result<(), EncodeError> {
    out.clear();
    out.put_u16(PROTOCOL_VERSION);
    out.put_u16(0);
    let output = BoundedAppend::new(out, MAX_DATAGRAM_BYTES - HEADER_BYTES);
    if let Err(error) = postcard::serialize_with_flavor(heartbeat, output) {
        out.clear();
        return Err(EncodeError::new(error, MAX_DATAGRAM_BYTES));
    }
    let length = u16::try_from(out.len() - HEADER_BYTES).expect("the body fits a datagram");
    out[2..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Decodes a heartbeat datagram. Refuses other protocol versions and trailing bytes.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, DecodeError> {
    let Some((header, body)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return Err(DecodeError::DatagramLengthMismatch {
            declared_bytes: HEADER_BYTES,
            received_bytes: datagram.len(),
        });
    };
    let version = u16::from_be_bytes([header[0], header[1]]);
    if version != PROTOCOL_VERSION {
        return Err(DecodeError::UnsupportedVersion { version });
    }
    let declared_bytes = usize::from(u16::from_be_bytes([header[2], header[3]]));
    if declared_bytes != body.len() {
        return Err(DecodeError::DatagramLengthMismatch {
            declared_bytes,
            received_bytes: body.len(),
        });
    }
    let (heartbeat, rest) =
        postcard::take_from_bytes(body).map_err(DecodeError::MalformedDatagram)?;
    match rest.len() {
        0 => Ok(heartbeat),
        count => Err(DecodeError::TrailingBytes { count }),
    }
}
