//! HTTP server for the load balancer's readiness probe and for metrics, with one request per
//! connection.

use std::io::{ErrorKind, Read, Write};

use flamingorock_core::arena::Arena;
use flamingorock_jardinet::parse_request_path;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};

use crate::net::{IncomingHttpKey, accept_all};

const READ_BUFFER_BYTES: usize = 2048;
/// Size limit of a request.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// Time from the accept of a connection until it is closed, whether it has been served or not.
const REQUEST_TIMEOUT_US: u64 = 2_000_000;
/// Limit of open connections. Connections beyond it are closed when they are accepted.
const MAX_CONNECTIONS: usize = 64;

/// A request, of which only the path matters.
pub struct Request {
    /// Path with the query string, as the client sent it.
    pub path: String,
}

/// A response.
pub struct Response {
    /// Status code and reason phrase, such as `200 OK`.
    pub status: &'static str,
    /// Body, as plain text.
    pub body: String,
}

#[derive(Debug)]
struct Connection {
    tcp: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    deadline_us: u64,
}

/// Table of the open connections.
#[derive(Debug)]
pub struct HttpServer {
    connections: Arena<IncomingHttpKey, Connection>,
}

impl HttpServer {
    /// Creates a server without connections.
    pub fn new() -> Self {
        Self { connections: Arena::new() }
    }

    /// Accepts the pending connections of a listener and serves those whose request has arrived.
    pub fn accept(
        &mut self,
        listener: &TcpListener,
        registry: &Registry,
        now_us: u64,
        handler: &impl Fn(&Request) -> Response,
    ) {
        let mut accepted = Vec::new();
        accept_all(listener, |tcp| accepted.push(tcp));
        for tcp in accepted {
            if self.connections.len() >= MAX_CONNECTIONS {
                continue;
            }
            let connection = Connection {
                tcp,
                input: Vec::new(),
                output: Vec::new(),
                deadline_us: now_us + REQUEST_TIMEOUT_US,
            };
            let key = self.connections.insert(connection);
            let Some(connection) = self.connections.get_mut(key) else { continue };
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry.register(&mut connection.tcp, key.into(), interest).is_err() {
                self.connections.remove(key);
                continue;
            }
            self.advance(key, handler);
        }
    }

    /// Continues a connection whose socket is ready.
    pub fn advance(&mut self, key: IncomingHttpKey, handler: &impl Fn(&Request) -> Response) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.advance(handler).is_err() {
            self.connections.remove(key);
        }
    }

    /// Closes the connections whose deadline has passed.
    pub fn expire(&mut self, now_us: u64) {
        for key in self.connections.keys_where(|connection| connection.deadline_us <= now_us) {
            self.connections.remove(key);
        }
    }
}

/// The connection is to be closed: the response has been written, or the connection failed.
struct Finished;

impl Connection {
    fn advance(&mut self, handler: &impl Fn(&Request) -> Response) -> Result<(), Finished> {
        if self.output.is_empty() {
            self.read()?;
            let path = parse_request_path(&self.input).map_err(|_| Finished)?;
            let Some(path) = path else { return Ok(()) };
            let Response { status, body } = handler(&Request { path });
            self.output = format!(
                "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n{body}",
                body.len()
            )
            .into_bytes();
        }
        self.write()
    }

    fn read(&mut self) -> Result<(), Finished> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        loop {
            match self.tcp.read(&mut bytes) {
                Ok(0) => return Err(Finished),
                Ok(count) => self.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Finished),
            }
            if self.input.len() > MAX_REQUEST_BYTES {
                return Err(Finished);
            }
        }
    }

    fn write(&mut self) -> Result<(), Finished> {
        while !self.output.is_empty() {
            match self.tcp.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Finished),
            }
        }
        Err(Finished)
    }
}
