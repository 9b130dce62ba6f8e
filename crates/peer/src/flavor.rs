//! A `postcard` serialization flavor that writes to a [`BytesMut`].

use bytes::{BufMut, BytesMut};
use postcard::ser_flavors::Flavor;

/// Appends the encoded bytes directly to a write buffer, so that a payload is copied only once
/// before it is written to the socket. Fails once the output would exceed a size limit.
pub(crate) struct BoundedAppend<'a> {
    out: &'a mut BytesMut,
    remaining_bytes: usize,
}

impl<'a> BoundedAppend<'a> {
    pub(crate) fn new(out: &'a mut BytesMut, limit_bytes: usize) -> Self {
        Self { out, remaining_bytes: limit_bytes }
    }
}

impl Flavor for BoundedAppend<'_> {
    type Output = ();

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        self.remaining_bytes = self
            .remaining_bytes
            .checked_sub(data.len())
            .ok_or(postcard::Error::SerializeBufferFull)?;
        self.out.put_slice(data);
        Ok(())
    }

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.try_extend(&[byte])
    }

    fn finalize(self) -> postcard::Result<()> {
        Ok(())
    }
}
