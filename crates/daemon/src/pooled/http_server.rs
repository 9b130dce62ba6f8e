//! Answers to questions over HTTP: the balancer's and those for metrics.

use std::io::{ErrorKind, Read, Write};

use flamingorock_core::arena::Arena;
use flamingorock_jardinet::parse_request_path;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};

use crate::net::{IncomingHttpKey, accept_all};

const READ_BYTES: usize = 2048;
/// Largest question that is read.
const QUESTION_BYTES: usize = 8 * 1024;
/// Time that a question may take.
const QUESTION_US: u64 = 2_000_000;
/// Questions at a time; more are closed at once.
const QUESTIONS: usize = 64;

/// What is asked for.
pub struct Question {
    /// Path of the request.
    pub path: String,
}

/// An answer.
pub struct Reply {
    /// Status line without the version.
    pub status: &'static str,
    /// Body.
    pub body: String,
}

#[derive(Debug)]
struct Exchange {
    tcp: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    deadline_us: u64,
}

/// Questions that are being answered.
#[derive(Debug)]
pub struct HttpServer {
    exchanges: Arena<IncomingHttpKey, Exchange>,
}

impl HttpServer {
    /// Creates a server without questions.
    pub fn new() -> Self {
        Self { exchanges: Arena::new() }
    }

    /// Accepts the questions that wait at a listener and answers those that are complete.
    pub fn accept(
        &mut self,
        listener: &TcpListener,
        registry: &Registry,
        now_us: u64,
        answer: &impl Fn(&Question) -> Reply,
    ) {
        let mut accepted = Vec::new();
        accept_all(listener, |tcp| accepted.push(tcp));
        for tcp in accepted {
            if self.exchanges.len() >= QUESTIONS {
                continue;
            }
            let exchange = Exchange {
                tcp,
                input: Vec::new(),
                output: Vec::new(),
                deadline_us: now_us + QUESTION_US,
            };
            let key = self.exchanges.insert(exchange);
            let Some(row) = self.exchanges.get_mut(key) else { continue };
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry.register(&mut row.tcp, key.into(), interest).is_err() {
                self.exchanges.remove(key);
                continue;
            }
            self.advance(key, answer);
        }
    }

    /// Goes on with a question whose socket is ready.
    pub fn advance(&mut self, key: IncomingHttpKey, answer: &impl Fn(&Question) -> Reply) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if exchange.advance(answer).is_err() {
            self.exchanges.remove(key);
        }
    }

    /// Closes the questions that take too long.
    pub fn expire(&mut self, now_us: u64) {
        for key in self.exchanges.keys_where(|exchange| exchange.deadline_us <= now_us) {
            self.exchanges.remove(key);
        }
    }
}

/// The exchange is over.
struct Over;

impl Exchange {
    fn advance(&mut self, answer: &impl Fn(&Question) -> Reply) -> Result<(), Over> {
        if self.output.is_empty() {
            self.read()?;
            let path = parse_request_path(&self.input).map_err(|_| Over)?;
            let Some(path) = path else { return Ok(()) };
            let Reply { status, body } = answer(&Question { path });
            self.output = format!(
                "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n{body}",
                body.len()
            )
            .into_bytes();
        }
        self.write()
    }

    fn read(&mut self) -> Result<(), Over> {
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.tcp.read(&mut bytes) {
                Ok(0) => return Err(Over),
                Ok(count) => self.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Over),
            }
            if self.input.len() > QUESTION_BYTES {
                return Err(Over);
            }
        }
    }

    fn write(&mut self) -> Result<(), Over> {
        while !self.output.is_empty() {
            match self.tcp.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Over),
            }
        }
        Err(Over)
    }
}
