//! Bounded output buffers.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// The output exceeds the limit of its buffer because the peer reads too slowly.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("the output buffer is full because the peer reads too slowly")]
pub struct BufferFull;

/// Minimum size of bytes that are queued as a chunk of their own. For smaller ones a copy to the
/// tail is cheaper than another slice in the write call.
const MIN_CHUNK_BYTES: usize = 4096;

/// Limit of chunks in one vectored write.
const MAX_CHUNKS_PER_WRITE: usize = 16;

/// Queue of bytes to be written to a socket.
#[derive(Debug)]
pub struct WriteBuffer {
    chunks: VecDeque<Bytes>,
    /// Bytes that follow the chunks and can still be appended to.
    tail: BytesMut,
    /// Size of all chunks, without the tail.
    chunks_bytes: usize,
    limit_bytes: usize,
    written_bytes: u64,
}

impl WriteBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            chunks: VecDeque::new(),
            tail: BytesMut::new(),
            chunks_bytes: 0,
            limit_bytes,
            written_bytes: 0,
        }
    }

    /// Changes the limit, which applies from the next check on.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// Appends bytes. Call [`WriteBuffer::check_limit`] afterwards.
    pub fn push(&mut self, bytes: Bytes) {
        if bytes.len() < MIN_CHUNK_BYTES {
            self.tail.extend_from_slice(&bytes);
        } else {
            self.freeze_tail();
            self.chunks_bytes += bytes.len();
            self.chunks.push_back(bytes);
        }
    }

    /// Tail of the buffer, for an encoder to append to. Call [`WriteBuffer::check_limit`]
    /// afterwards.
    pub fn tail_mut(&mut self) -> &mut BytesMut {
        &mut self.tail
    }

    /// Fails if the buffer exceeds its limit.
    pub fn check_limit(&self) -> Result<(), BufferFull> {
        if self.len() > self.limit_bytes { Err(BufferFull) } else { Ok(()) }
    }

    /// Number of buffered bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chunks_bytes + self.tail.len()
    }

    /// Whether no bytes are buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of bytes written to the socket since the buffer was created.
    #[must_use]
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Stream offset of the next byte to be appended: all bytes written so far and all that are
    /// buffered.
    #[must_use]
    pub fn end_offset_bytes(&self) -> u64 {
        self.written_bytes + self.len() as u64
    }

    /// Writes until the buffer is empty or the socket would block. Returns the number of bytes
    /// written.
    pub fn flush(&mut self, socket: &mut impl Write) -> io::Result<u64> {
        let before = self.written_bytes;
        self.freeze_tail();
        while !self.chunks.is_empty() {
            match self.write_chunks(socket) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.advance(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(self.written_bytes - before)
    }

    fn write_chunks(&self, socket: &mut impl Write) -> io::Result<usize> {
        if let [chunk] = self.chunks.as_slices().0 {
            return socket.write(chunk);
        }
        let mut slices = [IoSlice::new(&[]); MAX_CHUNKS_PER_WRITE];
        let mut count = 0;
        for (slice, chunk) in slices.iter_mut().zip(&self.chunks) {
            *slice = IoSlice::new(chunk);
            count += 1;
        }
        socket.write_vectored(&slices[..count])
    }

    fn advance(&mut self, count: usize) {
        self.written_bytes += count as u64;
        self.chunks_bytes -= count;
        let mut rest = count;
        while let Some(chunk) = self.chunks.front_mut() {
            let taken = rest.min(chunk.len());
            chunk.advance(taken);
            rest -= taken;
            if !chunk.is_empty() {
                return;
            }
            self.chunks.pop_front();
        }
    }

    /// Turns the tail into the last chunk. Its memory is freed once it is written, so that an idle
    /// socket holds none.
    fn freeze_tail(&mut self) {
        if !self.tail.is_empty() {
            let tail = core::mem::take(&mut self.tail).freeze();
            self.chunks_bytes += tail.len();
            self.chunks.push_back(tail);
        }
    }
}

impl Extend<Bytes> for WriteBuffer {
    fn extend<I: IntoIterator<Item = Bytes>>(&mut self, chunks: I) {
        for chunk in chunks {
            self.push(chunk);
        }
    }
}
