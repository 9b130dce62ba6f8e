//! Connections to database instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use flamingorock_core::arena::Arena;
use flamingorock_jardinet::{InstanceCodec, InstanceMessage};
use flamingorock_pool::ConnectionKey;
use flamingorock_pool::traffic::{Command, Event, Traffic};
use mio::{Interest, Registry};

use crate::net::{
    BackendSocketKey, READ_BUDGET_BYTES, ReadOutcome, Scratch, Stream, connect, is_connected,
};

/// Limit of the output buffered for one connection. A connection is closed if its instance reads so
/// slowly that the output exceeds it.
const OUTPUT_LIMIT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug)]
struct Backend {
    stream: Stream,
    codec: InstanceCodec,
    connection: ConnectionKey,
    is_connected: bool,
}

/// Table of the connections to instances, with their codecs and output buffers.
#[derive(Debug)]
pub struct Backends {
    sockets: Arena<BackendSocketKey, Backend>,
    by_connection: HashMap<ConnectionKey, BackendSocketKey>,
    /// Connections with output to flush.
    dirty: Vec<BackendSocketKey>,
}

impl Backends {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { sockets: Arena::new(), by_connection: HashMap::new(), dirty: Vec::new() }
    }

    /// Starts to connect to an instance. A failure is reported to the state machine as the loss of
    /// the connection.
    pub fn connect(
        &mut self,
        connection: ConnectionKey,
        address: SocketAddr,
        registry: &Registry,
        machine: &mut Traffic,
    ) {
        let Ok(tcp) = connect(address) else {
            return machine.push(Event::ConnectionLost { connection });
        };
        let key = self.sockets.insert(Backend {
            stream: Stream::new(tcp, OUTPUT_LIMIT_BYTES),
            codec: InstanceCodec::default(),
            connection,
            is_connected: false,
        });
        self.by_connection.insert(connection, key);
        let Some(backend) = self.sockets.get_mut(key) else { return };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registry.register(&mut backend.stream.tcp, key.into(), interest).is_err() {
            self.close_lost(key, machine);
        }
    }

    /// Handles readiness of a connection's socket: completes the connect, marks pending output for
    /// the next flush and reads. Returns whether the read budget ran out, so that the socket may
    /// have more to read although the poll does not report it again.
    pub fn advance(
        &mut self,
        key: BackendSocketKey,
        scratch: &mut Scratch,
        machine: &mut Traffic,
    ) -> bool {
        let Some(backend) = self.sockets.get_mut(key) else { return false };
        if !backend.is_connected {
            match is_connected(&backend.stream.tcp) {
                Ok(false) => return false,
                Ok(true) => {
                    backend.is_connected = true;
                    machine.push(Event::Connected { connection: backend.connection });
                }
                Err(_) => {
                    self.close_lost(key, machine);
                    return false;
                }
            }
        }
        if !backend.stream.output.is_empty() {
            self.dirty.push(key);
        }
        self.read(key, scratch, machine)
    }

    fn read(
        &mut self,
        key: BackendSocketKey,
        scratch: &mut Scratch,
        machine: &mut Traffic,
    ) -> bool {
        let Some(backend) = self.sockets.get_mut(key) else { return false };
        backend.stream.start_reading();
        let mut budget_bytes = READ_BUDGET_BYTES;
        loop {
            match backend.stream.read(scratch, budget_bytes) {
                ReadOutcome::Drained => return false,
                ReadOutcome::Closed => break,
                ReadOutcome::Data(bytes) => {
                    budget_bytes = budget_bytes.saturating_sub(bytes.len());
                    backend.codec.push(bytes);
                    if backend.decode_messages(machine).is_err() {
                        break;
                    }
                }
            }
            if budget_bytes == 0 {
                return true;
            }
        }
        self.close_lost(key, machine);
        false
    }

    /// Encodes a command into the output of a connection, which the next flush writes.
    pub fn send(&mut self, connection: ConnectionKey, command: &Command) {
        let Some(key) = self.by_connection.get(&connection).copied() else { return };
        let Some(backend) = self.sockets.get_mut(key) else { return };
        backend.codec.encode(backend.stream.output.tail_mut(), command);
        self.dirty.push(key);
    }

    /// Closes a connection and discards its output. The state machine gets no event for it.
    pub fn close(&mut self, connection: ConnectionKey) {
        if let Some(key) = self.by_connection.remove(&connection) {
            self.sockets.remove(key);
        }
    }

    /// Writes the output of all marked connections. Closes those that fail or exceed the output
    /// limit.
    pub fn flush(&mut self, machine: &mut Traffic) {
        for key in core::mem::take(&mut self.dirty) {
            let Some(backend) = self.sockets.get_mut(key) else { continue };
            if backend.stream.flush().is_err() || backend.stream.output.check_limit().is_err() {
                self.close_lost(key, machine);
            }
        }
    }

    /// Closes a connection and reports its loss to the state machine.
    fn close_lost(&mut self, key: BackendSocketKey, machine: &mut Traffic) {
        if let Some(backend) = self.sockets.remove(key) {
            self.by_connection.remove(&backend.connection);
            machine.push(Event::ConnectionLost { connection: backend.connection });
        }
    }
}

impl Backend {
    /// Passes all complete messages to the state machine. Fails if a message is malformed.
    fn decode_messages(&mut self, machine: &mut Traffic) -> Result<(), ()> {
        let connection = self.connection;
        loop {
            let event = match self.codec.next_message() {
                Ok(None) => return Ok(()),
                Ok(Some(InstanceMessage::Started { position })) => {
                    Event::ConnectionStarted { connection, position }
                }
                Ok(Some(InstanceMessage::Refused { code })) => {
                    Event::ConnectionRefused { connection, code }
                }
                Ok(Some(InstanceMessage::Response(response))) => {
                    Event::Response { connection, response }
                }
                Err(error) => {
                    tracing::warn!(event = "instance_malformed", %error);
                    return Err(());
                }
            };
            machine.push(event);
        }
    }
}
