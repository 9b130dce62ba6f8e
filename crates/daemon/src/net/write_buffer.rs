//! Bounded output buffers.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// The receiver takes its data too slowly.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("the receiver does not read what is sent to it")]
pub struct BufferFull;

/// Pieces from this size on are queued as they are instead of being copied behind the bytes that
/// wait already. Below, a copy is cheaper than one more piece in the write call.
const QUEUED_FROM_BYTES: usize = 4096;

/// Pieces handed to the socket in one call.
const PIECES_PER_WRITE: usize = 16;

/// Bytes on their way to a socket.
#[derive(Debug)]
pub struct WriteBuffer {
    pieces: VecDeque<Bytes>,
    /// Bytes after the pieces.
    tail: BytesMut,
    pieces_bytes: usize,
    limit_bytes: usize,
    written_bytes: u64,
}

impl WriteBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            pieces: VecDeque::new(),
            tail: BytesMut::new(),
            pieces_bytes: 0,
            limit_bytes,
            written_bytes: 0,
        }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// Appends bytes. Call [`WriteBuffer::check_limit`] afterwards.
    pub fn push(&mut self, bytes: Bytes) {
        if bytes.len() < QUEUED_FROM_BYTES {
            self.tail.extend_from_slice(&bytes);
        } else {
            self.seal_tail();
            self.pieces_bytes += bytes.len();
            self.pieces.push_back(bytes);
        }
    }

    /// The end of the buffer, for an encoder to append to. Call [`WriteBuffer::check_limit`] afterwards.
    pub fn tail_mut(&mut self) -> &mut BytesMut {
        &mut self.tail
    }

    /// Whether the buffer is within its limit.
    pub fn check_limit(&self) -> Result<(), BufferFull> {
        if self.len() > self.limit_bytes { Err(BufferFull) } else { Ok(()) }
    }

    /// Bytes that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces_bytes + self.tail.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that the socket has taken since the buffer was created.
    #[must_use]
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Bytes that the socket has taken and will take before the next one that is appended.
    #[must_use]
    pub fn end_offset_bytes(&self) -> u64 {
        self.written_bytes + self.len() as u64
    }

    /// Writes until the buffer is empty or the socket takes no more. Returns the bytes written.
    pub fn flush(&mut self, socket: &mut impl Write) -> io::Result<u64> {
        let before = self.written_bytes;
        self.seal_tail();
        while !self.pieces.is_empty() {
            match self.write_pieces(socket) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.advance(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(self.written_bytes - before)
    }

    fn write_pieces(&self, socket: &mut impl Write) -> io::Result<usize> {
        if let [piece] = self.pieces.as_slices().0 {
            return socket.write(piece);
        }
        let mut slices = [IoSlice::new(&[]); PIECES_PER_WRITE];
        let mut count = 0;
        for (slice, piece) in slices.iter_mut().zip(&self.pieces) {
            *slice = IoSlice::new(piece);
            count += 1;
        }
        socket.write_vectored(&slices[..count])
    }

    fn advance(&mut self, count: usize) {
        self.written_bytes += count as u64;
        self.pieces_bytes -= count;
        let mut rest = count;
        while let Some(piece) = self.pieces.front_mut() {
            let taken = rest.min(piece.len());
            piece.advance(taken);
            rest -= taken;
            if !piece.is_empty() {
                return;
            }
            self.pieces.pop_front();
        }
    }

    /// Moves the tail behind the pieces. An idle socket keeps no memory afterwards.
    fn seal_tail(&mut self) {
        if !self.tail.is_empty() {
            let tail = core::mem::take(&mut self.tail).freeze();
            self.pieces_bytes += tail.len();
            self.pieces.push_back(tail);
        }
    }
}

impl Extend<Bytes> for WriteBuffer {
    fn extend<I: IntoIterator<Item = Bytes>>(&mut self, pieces: I) {
        for piece in pieces {
            self.push(piece);
        }
    }
}
