//! Reading of message bodies.

/// Reads fields from the front of a message body. Every method returns `None` if the body is too
/// short.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(crate) fn new(body: &'a [u8]) -> Self {
        Self { rest: body }
    }

    pub(crate) fn rest(&self) -> &'a [u8] {
        self.rest
    }

    pub(crate) fn u8(&mut self) -> Option<u8> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(*first)
    }

    pub(crate) fn u16(&mut self) -> Option<u16> {
        self.chunk().map(u16::from_be_bytes)
    }

    pub(crate) fn i32(&mut self) -> Option<i32> {
        self.chunk().map(i32::from_be_bytes)
    }

    pub(crate) fn bytes(&mut self, length: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        Some(bytes)
    }

    /// Reads a string up to its terminating zero byte, which is skipped.
    pub(crate) fn string(&mut self) -> Option<&'a [u8]> {
        let end = self.rest.iter().position(|byte| *byte == 0)?;
        let string = &self.rest[..end];
        self.rest = &self.rest[end + 1..];
        Some(string)
    }

    fn chunk<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (chunk, rest) = self.rest.split_first_chunk::<N>()?;
        self.rest = rest;
        Some(*chunk)
    }
}
