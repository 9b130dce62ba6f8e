//! TCP streams with their output.

use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;

use mio::net::TcpStream;

use super::WriteBuffer;

/// Bytes that one socket delivers in one wake-up of its thread, so that a busy socket does not keep
/// the others waiting.
pub const READ_BUDGET_BYTES: usize = 256 * 1024;

/// Read buffer that the sockets of a thread share, so that an idle socket holds no memory.
#[derive(Debug)]
pub struct Scratch {
    bytes: Box<[u8]>,
    /// Whether a read that does not fill the buffer is followed by another one. The poll reports
    /// each arrival, so that a short read has taken everything, except that the end of a connection
    /// is reported together with the bytes before it.
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
    /// Bytes that have arrived; there may be more.
    Data(&'a [u8]),
    /// Everything that has arrived has been read.
    Drained,
    /// The peer has closed its side, or the connection is broken.
    Closed,
}

/// A TCP stream with its output.
#[derive(Debug)]
pub struct Stream {
    /// The socket.
    pub tcp: TcpStream,
    /// Bytes that wait to be written.
    pub output: WriteBuffer,
    /// Whether a short read has taken everything since [`Stream::start_reading`].
    is_drained: bool,
}

impl Stream {
    /// Wraps a socket.
    #[must_use]
    pub fn new(tcp: TcpStream, output_limit_bytes: usize) -> Self {
        Self { tcp, output: WriteBuffer::new(output_limit_bytes), is_drained: false }
    }

    /// Starts the reads of one wake-up.
    pub fn start_reading(&mut self) {
        self.is_drained = false;
    }

    /// Reads at most `limit_bytes`, which must not be 0.
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

    /// Writes what waits. Returns the bytes written.
    pub fn flush(&mut self) -> io::Result<u64> {
        self.output.flush(&mut self.tcp)
    }

    /// Tells the peer that nothing follows. An error means that the connection is broken anyway.
    pub fn shutdown_write(&self) {
        let _ = self.tcp.shutdown(Shutdown::Write);
    }
}
