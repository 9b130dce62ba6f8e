//! A caller that always has one statement in flight.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Instant;

use mio::net::TcpStream;

use super::reply_scanner::{Reply, ReplyScanner};

/// A caller that always has one statement in flight.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) stream: TcpStream,
    pub(super) sent_at: Instant,
    scanner: ReplyScanner,
    /// Number of bytes of the current statement that the socket has taken.
    written_bytes: usize,
}

impl Caller {
    pub(super) fn new(stream: TcpStream) -> Self {
        let scanner = ReplyScanner::default();
        Self { stream, sent_at: Instant::now(), scanner, written_bytes: 0 }
    }

    /// Starts sending the next statement and its latency measurement.
    pub(super) fn start_statement(&mut self, messages: &[u8]) -> io::Result<()> {
        self.sent_at = Instant::now();
        self.written_bytes = 0;
        self.write(messages)
    }

    /// Writes the rest of the statement until the socket would block.
    pub(super) fn write(&mut self, messages: &[u8]) -> io::Result<()> {
        while self.written_bytes < messages.len() {
            match self.stream.write(&messages[self.written_bytes..]) {
                Ok(count) => self.written_bytes += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads until the socket is empty. Returns the reply if it is complete.
    pub(super) fn read(&mut self, read_buffer: &mut [u8]) -> io::Result<Option<Reply>> {
        loop {
            match self.stream.read(read_buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.scanner.receive(&read_buffer[..count]);
                    // A short read has emptied the socket; further data raises a new event.
                    if count < read_buffer.len() {
                        return self.scanner.next_reply();
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return self.scanner.next_reply();
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
