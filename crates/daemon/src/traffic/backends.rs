//! Connections to backend servers.

mod backend;

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::arena::Arena;
use flamingorock_core::traffic::{ConnectionLoss, Event, Traffic};
use flamingorock_core::{ConnectionKey, WorkItemKey};
use flamingorock_frontend::BackendEvent;
use mio::Token;

use crate::io_context::IoContext;
use crate::machine_driver::MachineDriver;
use crate::net::BackendSocketKey;
use backend::{Backend, Lost};

/// Table of one traffic thread's connections to backend servers.
#[derive(Debug, Default)]
pub struct Backends {
    sockets: Arena<BackendSocketKey, Backend>,
    by_connection: HashMap<ConnectionKey, BackendSocketKey>,
}

impl Backends {
    /// Opens a connection. The machine gets `ConnectionOpened` once the connection is ready, or
    /// `ConnectionLost` if it cannot be established.
    pub fn open(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        connection: ConnectionKey,
        address: SocketAddr,
        database: &str,
    ) {
        io.metrics.backend_connects.inc();
        if self.try_open(io, connection, address, database).is_err() {
            io.metrics.backend_losses.inc();
            let reason = ConnectionLoss::ConnectFailed;
            machine.push(Event::ConnectionLost { connection, reason });
        }
    }

    fn try_open(
        &mut self,
        io: &mut IoContext,
        connection: ConnectionKey,
        address: SocketAddr,
        database: &str,
    ) -> std::io::Result<()> {
        let backend = Backend::connect(io, connection, address, database)?;
        let key = self.sockets.insert(backend);
        let backend = self.sockets.get_mut(key).expect("just inserted");
        if let Err(error) = io.register(&mut backend.stream.tcp, key.into()) {
            self.sockets.remove(key);
            return Err(error);
        }
        io.deadlines.extend(backend.deadline_us, key.into());
        io.metrics.backend_connections.inc();
        self.by_connection.insert(connection, key);
        Ok(())
    }

    /// Queues a request for writing. The connection is lost if the response exceeds
    /// `max_answer_bytes`.
    pub fn execute(
        &mut self,
        io: &mut IoContext,
        connection: ConnectionKey,
        work: WorkItemKey,
        payload: Bytes,
        max_answer_bytes: u32,
    ) {
        let Some((key, backend)) = self.find(connection) else { return };
        backend.work = Some(work);
        backend.codec.start_payload(max_answer_bytes as usize);
        backend.stream.output.push(payload);
        io.dirty.push(key.into());
    }

    /// Rolls back any open transaction and clears the session state, within a time limit.
    pub fn reset(&mut self, io: &mut IoContext, connection: ConnectionKey) {
        let Some((key, backend)) = self.find(connection) else { return };
        let request = backend.codec.start_reset();
        backend.stream.output.push(request);
        backend.start_reset_deadline(io.now_us);
        io.deadlines.extend(backend.deadline_us, key.into());
        io.dirty.push(key.into());
    }

    /// Returns the server's address and the cancel request for the statement that runs on a
    /// connection, or `None` if the connection is gone or has not received its cancel key.
    pub fn cancel_request(&mut self, connection: ConnectionKey) -> Option<(SocketAddr, Bytes)> {
        let (_, backend) = self.find(connection)?;
        Some((backend.address, backend.codec.cancel_request()?))
    }

    /// Closes a connection for the machine, which gets no `ConnectionLost`.
    pub fn close(&mut self, io: &mut IoContext, connection: ConnectionKey) {
        if let Some(key) = self.by_connection.get(&connection).copied() {
            self.remove(io, key);
        }
    }

    /// Handles readiness of a connection's socket.
    pub fn ready(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) {
        let key = BackendSocketKey::from(token);
        let Some(backend) = self.sockets.get_mut(key) else { return };
        let (connection, mut work) = (backend.connection, backend.work);
        let result = backend.advance(io, token, |event| {
            machine.push(match event {
                BackendEvent::Opened => Event::ConnectionOpened { connection },
                BackendEvent::Reset => Event::ConnectionReset { connection },
                BackendEvent::Answered { answer, status, failed } => {
                    let work = work.take().expect("the codec gives one response to each request");
                    Event::BackendResponded { connection, work, response: answer, status, failed }
                }
            });
        });
        backend.work = work;
        self.handle_result(io, machine, key, result);
    }

    /// Writes the queued output of a connection.
    pub fn flush(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) {
        let key = BackendSocketKey::from(token);
        let Some(backend) = self.sockets.get_mut(key) else { return };
        let result = backend.flush(io);
        self.handle_result(io, machine, key, result);
    }

    /// Closes a connection that was not established or reset before its deadline.
    pub fn expire(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        token: Token,
    ) {
        let key = BackendSocketKey::from(token);
        let Some(backend) = self.sockets.get(key) else { return };
        if backend.deadline_us.is_some_and(|deadline_us| deadline_us <= io.now_us) {
            let lost = Lost(backend.loss());
            self.handle_result(io, machine, key, Err(lost));
        }
    }

    /// Closes a connection after a failure and reports it to the machine.
    fn handle_result(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        key: BackendSocketKey,
        result: Result<(), Lost>,
    ) {
        let Err(Lost(reason)) = result else { return };
        if let Some(connection) = self.remove(io, key) {
            io.metrics.backend_losses.inc();
            machine.push(Event::ConnectionLost { connection, reason });
        }
    }

    fn remove(&mut self, io: &mut IoContext, key: BackendSocketKey) -> Option<ConnectionKey> {
        let mut backend = self.sockets.remove(key)?;
        self.by_connection.remove(&backend.connection);
        // The socket is closed right after; a failure to deregister it changes nothing.
        let _ = io.registry.deregister(&mut backend.stream.tcp);
        io.metrics.backend_connections.dec();
        Some(backend.connection)
    }

    fn find(&mut self, connection: ConnectionKey) -> Option<(BackendSocketKey, &mut Backend)> {
        let key = *self.by_connection.get(&connection)?;
        Some((key, self.sockets.get_mut(key)?))
    }
}
