//! Headers of protocol messages.

/// Bytes of a type byte and a length field.
pub(crate) const HEADER_BYTES: usize = 5;

/// Type and size of a protocol message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Header {
    /// Type byte.
    pub(crate) tag: u8,
    /// Size of the message with its header; `None` if the length field is impossible.
    pub(crate) size: Option<usize>,
}

impl Header {
    /// Reads a header, or returns `None` if fewer bytes than a header are there.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let length = i32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        // The length counts its own four bytes.
        let size = usize::try_from(length).ok().filter(|length| *length >= 4);
        Some(Self { tag: header[0], size: size.map(|length| length + 1) })
    }
}
