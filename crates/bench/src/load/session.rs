//! Sessions over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::message::frontend;

use super::reply_scanner::{Reply, ReplyScanner};
use crate::bench_error::BenchError;
use crate::fleet::DATABASE;

/// Timeout of connecting and of each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(15);

/// Options that a session sends in its startup message.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SessionOptions {
    /// Maximum age of the data that its reads may return. `None` sends no option, for a
    /// direct connection to an instance.
    pub(crate) max_staleness_ms: Option<u32>,
}

/// A session over a blocking socket, with at most one request in flight.
#[derive(Debug)]
pub(crate) struct Session {
    stream: TcpStream,
    scanner: ReplyScanner,
}

impl Session {
    /// Connects, sends the startup message and waits until the session is ready.
    pub(crate) fn open(address: SocketAddr, options: SessionOptions) -> Result<Self, BenchError> {
        let connect = || {
            let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(IO_TIMEOUT))?;
            stream.set_write_timeout(Some(IO_TIMEOUT))?;
            Ok(stream)
        };
        let stream = connect().map_err(BenchError::io("connect"))?;
        let mut session = Self { stream, scanner: ReplyScanner::default() };
        let startup =
            startup_message(options).map_err(BenchError::io("encode the startup message"))?;
        session.exchange("starting the session", &startup)?;
        Ok(session)
    }

    /// Runs a statement in the simple query protocol.
    pub(crate) fn run_query(&mut self, text: &str) -> Result<(), BenchError> {
        let mut bytes = BytesMut::new();
        frontend::query(text, &mut bytes).map_err(BenchError::io("encode a statement"))?;
        self.exchange("running a statement", &bytes)
    }

    /// Sends messages and waits for the complete reply.
    pub(crate) fn exchange(
        &mut self,
        operation: &'static str,
        bytes: &[u8],
    ) -> Result<(), BenchError> {
        match self.send_and_receive(bytes) {
            Ok(Reply::Completed) => Ok(()),
            Ok(found) => Err(BenchError::Unexpected { operation, found: format!("{found:?}") }),
            Err(error) => Err(BenchError::Io { operation, error }),
        }
    }

    /// Returns the socket. No reply may be outstanding.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn send_and_receive(&mut self, bytes: &[u8]) -> io::Result<Reply> {
        self.stream.write_all(bytes)?;
        let mut buffer = [0; 4096];
        loop {
            let count = self.stream.read(&mut buffer)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.scanner.receive(&buffer[..count]);
            if let Some(reply) = self.scanner.next_reply()? {
                return Ok(reply);
            }
        }
    }
}

fn startup_message(options: SessionOptions) -> io::Result<BytesMut> {
    let option =
        options.max_staleness_ms.map(|ms| format!("-c flamingorock.max_staleness_ms={ms}"));
    let mut parameters = vec![("user", "bench"), ("database", DATABASE)];
    if let Some(option) = &option {
        parameters.push(("options", option));
    }
    let mut bytes = BytesMut::new();
    frontend::startup_message(parameters, &mut bytes)?;
    Ok(bytes)
}
