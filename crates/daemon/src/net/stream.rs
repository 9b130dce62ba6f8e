//! TCP streams with buffered output.

use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;

use mio::net::TcpStream;

use super::WriteBuffer;

/// Limit of bytes read from one socket in one wake-up of its thread, so that a busy socket does not
/// delay the others.
pub const READ_BUDGET_BYTES: usize = 256 * 1024;

/// Read buffer that the sockets of a thread share, so that an idle socket holds no memory.
#[derive(Debug)]
pub struct Scratch {
    bytes: Box<[u8]>,
    /// Whether a short read, one that does not fill the buffer, is followed by another read.
    /// Normally a short read means that the socket is empty, and the poll reports the next arrival.
    /// The end of a connection, however, may be reported together with the bytes before it, so that
    /// the socket must be read until it would block.
    pub read_until_would_block: bool,
}

impl Scratch {
    /// Allocates the buffer.
    #[must_use]
    pub fn new() -> Self {
        Self { bytes: vec![0; 64 * 1024].into_boxed_slice(), read_until_would_block: true }
    }
}

impl Default for Scratch {
    fn default() -> Self {
        Self::new()
    }
}

/// Outcome of a read.
#[derive(Debug, Eq, PartialEq)]
pub enum ReadOutcome<'a> {
    /// Bytes read; there may be more.
    Data(&'a [u8]),
    /// The socket has no more bytes for now; the poll reports the next arrival.
    Drained,
    /// The peer has closed its side, or the connection has failed.
    Closed,
}

/// A TCP stream with buffered output.
#[derive(Debug)]
pub struct Stream {
    /// The socket.
    pub tcp: TcpStream,
    /// Bytes to be written by the next flush.
    pub output: WriteBuffer,
    /// Whether a read since [`Stream::start_reading`] has left the socket empty.
    is_drained: bool,
}

impl Stream {
    /// Wraps a socket.
    #[must_use]
    pub fn new(tcp: TcpStream, output_limit_bytes: usize) -> Self {
        Self { tcp, output: WriteBuffer::new(output_limit_bytes), is_drained: false }
    }

    /// Must be called before the first read of each wake-up.
    pub fn start_reading(&mut self) {
        self.is_drained = false;
    }

    /// Reads at most `limit_bytes`, which must not be 0, into the shared buffer.
    pub fn read<'a>(&mut self, scratch: &'a mut Scratch, limit_bytes: usize) -> ReadOutcome<'a> {
        let length = limit_bytes.min(scratch.bytes.len());
        while !self.is_drained {
            match self.tcp.read(&mut scratch.bytes[..length]) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => {
                    self.is_drained = count < length && !scratch.read_until_would_block;
                    return ReadOutcome::Data(&scratch.bytes[..count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_drained = true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Closed,
            }
        }
        ReadOutcome::Drained
    }

    /// Writes as much of the output as the socket takes. Returns the number of bytes written.
    pub fn flush(&mut self) -> io::Result<u64> {
        self.output.flush(&mut self.tcp)
    }

    /// Closes the sending side. An error is ignored, because it means that the connection has
    /// failed already.
    pub fn shutdown_write(&self) {
        let _ = self.tcp.shutdown(Shutdown::Write);
    }
}
