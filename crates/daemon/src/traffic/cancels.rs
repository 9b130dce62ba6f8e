//! Connections that each deliver one cancel request to a backend server.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::arena::Arena;
use mio::Token;

use crate::io_context::IoContext;
use crate::net::{CancelSocketKey, Stream, connect, is_connected};

/// Time to deliver a cancel request. After that the statement is unlikely to be still running.
const TIMEOUT_US: u64 = 1_000_000;

/// Table of one traffic thread's connections for cancel requests. PostgreSQL takes each cancel
/// request on a connection of its own.
#[derive(Debug, Default)]
pub struct Cancels {
    sockets: Arena<CancelSocketKey, Stream>,
}

impl Cancels {
    /// Sends a cancel request. A failure is not reported: the statement then ends by itself or at
    /// its deadline.
    pub fn start(&mut self, io: &mut IoContext, address: SocketAddr, request: Bytes) {
        let Ok(tcp) = connect(address) else { return };
        let mut stream = Stream::new(tcp, request.len());
        stream.output.push(request);
        let key = self.sockets.insert(stream);
        let stream = self.sockets.get_mut(key).expect("just inserted");
        if io.register(&mut stream.tcp, key.into()).is_err() {
            self.sockets.remove(key);
            return;
        }
        io.deadlines.add(io.now_us + TIMEOUT_US, key.into());
        io.metrics.backend_cancels.inc();
    }

    /// Handles readiness of a connection's socket. Closes the connection once the request is
    /// written.
    pub fn ready(&mut self, io: &mut IoContext, token: Token) {
        let key = CancelSocketKey::from(token);
        let Some(stream) = self.sockets.get_mut(key) else { return };
        let sent = match is_connected(&stream.tcp) {
            Ok(false) => return,
            Ok(true) => stream.flush(),
            Err(error) => Err(error),
        };
        if sent.is_err() || stream.output.is_empty() {
            self.close(io, key);
        }
    }

    /// Closes a connection whose request was not written in time.
    pub fn expire(&mut self, io: &mut IoContext, token: Token) {
        self.close(io, token.into());
    }

    fn close(&mut self, io: &mut IoContext, key: CancelSocketKey) {
        if let Some(mut stream) = self.sockets.remove(key) {
            // The socket is closed right after; a failure to deregister it changes nothing.
            let _ = io.registry.deregister(&mut stream.tcp);
        }
    }
}
