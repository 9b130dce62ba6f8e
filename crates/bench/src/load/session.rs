//! A session over a blocking socket.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::message::frontend;

use super::reply_scanner::{Reply, ReplyScanner};
use crate::bench_error::BenchError;
use crate::fleet::DATABASE;

/// Limit of each read and write.
const IO_LIMIT: Duration = Duration::from_secs(15);

/// What a session asks for at its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SessionOptions {
    /// Age of data that its reads may see; `None` sends no option, for a direct connection.
    pub(crate) max_staleness_ms: Option<u32>,
}

/// A session over a blocking socket.
#[derive(Debug)]
pub(crate) struct Session {
    stream: TcpStream,
    scanner: ReplyScanner,
}

impl Session {
    /// Connects and waits until the session is ready.
    pub(crate) fn open(address: SocketAddr, options: SessionOptions) -> Result<Self, BenchError> {
        let connect = || {
            let stream = TcpStream::connect_timeout(&address, IO_LIMIT)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(IO_LIMIT))?;
            stream.set_write_timeout(Some(IO_LIMIT))?;
            Ok(stream)
        };
        let stream = connect().map_err(BenchError::io("connect"))?;
        let mut session = Self { stream, scanner: ReplyScanner::default() };
        let startup = startup(options).map_err(BenchError::io("encode the startup"))?;
        session.exchange("the startup", &startup)?;
        Ok(session)
    }

    /// Runs a statement in the simple query protocol.
    pub(crate) fn run_text(&mut self, text: &str) -> Result<(), BenchError> {
        let mut bytes = BytesMut::new();
        frontend::query(text, &mut bytes).map_err(BenchError::io("encode a statement"))?;
        self.exchange("a statement", &bytes)
    }

    /// Sends messages and waits for the end of their reply.
    pub(crate) fn exchange(&mut self, what: &'static str, bytes: &[u8]) -> Result<(), BenchError> {
        match self.send_and_receive(bytes) {
            Ok(Reply::Completed) => Ok(()),
            Ok(found) => Err(BenchError::Unexpected { what, found: format!("{found:?}") }),
            Err(error) => Err(BenchError::Io { what, error }),
        }
    }

    /// The socket, between two replies.
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

fn startup(options: SessionOptions) -> io::Result<BytesMut> {
    let setting =
        options.max_staleness_ms.map(|ms| format!("-c flamingorock.max_staleness_ms={ms}"));
    let mut parameters = vec![("user", "bench"), ("database", DATABASE)];
    if let Some(setting) = &setting {
        parameters.push(("options", setting));
    }
    let mut bytes = BytesMut::new();
    frontend::startup_message(parameters, &mut bytes)?;
    Ok(bytes)
}
