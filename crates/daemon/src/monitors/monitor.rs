//! Monitor connections.

use std::collections::VecDeque;
use std::net::SocketAddr;

use flamingorock_core::InstanceId;
use flamingorock_core::traffic::ProbeFailure;
use flamingorock_frontend::{BackendCodec, BackendEvent, GroupProtocol};

use super::{InstanceCall, InstanceCallResult, MonitorTarget};
use crate::io_context::IoContext;
use crate::net::{MonitorSocketKey, ReadOutcome, Stream, connect, is_connected};

/// Greatest size of a report.
const REPORT_LIMIT_BYTES: usize = 64 * 1024;

/// Greatest size of the output: a startup message or one call.
const OUTPUT_LIMIT_BYTES: usize = 64 * 1024;

/// Time without calls after which a connection is closed, so that a former owner does not occupy
/// connections of an instance. Longer than the pauses between the requests of a quiet database,
/// since a new connection costs about 12 ms.
const IDLE_LIMIT_US: u64 = 10_000_000;

/// User of all connections to backend servers.
const USER: &str = "flamingorock";

/// An established or starting connection.
#[derive(Debug)]
struct Connection {
    stream: Stream,
    codec: BackendCodec,
    connected: bool,
    /// Whether the first call in the queue has been sent.
    running: bool,
}

/// A monitor connection and the calls that wait for it.
#[derive(Debug)]
pub(super) struct Monitor<T> {
    pub(super) instance: InstanceId,
    pub(super) address: SocketAddr,
    database: String,
    connection: Option<Connection>,
    pub(super) calls: VecDeque<InstanceCall<T>>,
    idle_deadline_us: u64,
    /// Earliest entry of this monitor in the thread's deadlines.
    armed_us: u64,
}

/// The connection is of no further use.
pub(super) struct Lost;

impl<T: Copy> Monitor<T> {
    pub(super) fn new(target: MonitorTarget<'_>) -> Self {
        Self {
            instance: target.instance,
            address: target.address,
            database: target.database.to_owned(),
            connection: None,
            calls: VecDeque::new(),
            idle_deadline_us: u64::MAX,
            armed_us: u64::MAX,
        }
    }

    /// Has the thread wake up for the earliest deadline, unless it does so already.
    pub(super) fn arm(&mut self, io: &mut IoContext, key: MonitorSocketKey) {
        let calls = self.calls.iter().map(|call| call.deadline_us);
        let next_us = calls.chain([self.idle_deadline_us]).min().unwrap_or(u64::MAX);
        if next_us < self.armed_us {
            self.armed_us = next_us;
            io.deadlines.add(next_us, key.into());
        }
    }

    /// Notes that the entry in the thread's deadlines has come due.
    pub(super) fn disarm(&mut self) {
        self.armed_us = u64::MAX;
    }

    /// Whether a deadline has passed.
    pub(super) fn is_due(&self, now_us: u64) -> bool {
        self.calls.iter().any(|call| call.deadline_us <= now_us)
    }

    /// Brings the connection as far as it goes without waiting.
    pub(super) fn advance(
        &mut self,
        io: &mut IoContext,
        key: MonitorSocketKey,
        protocol: &impl GroupProtocol,
        report: &mut impl FnMut(T, InstanceCallResult),
    ) -> Result<(), Lost> {
        if self.connection.is_none() {
            if self.calls.is_empty() {
                return Ok(());
            }
            self.connect(io, key)?;
        }
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if !connection.connected {
            connection.connected = is_connected(&connection.stream.tcp).map_err(|_| Lost)?;
            if !connection.connected {
                return Ok(());
            }
        }
        connection.stream.start_reading();
        loop {
            let read = connection.stream.read(&mut io.scratch, usize::MAX);
            match read {
                ReadOutcome::Data(bytes) => connection.codec.receive(bytes),
                ReadOutcome::Drained => break,
                ReadOutcome::Closed => return Err(Lost),
            }
            while let Some(event) = connection.codec.next_event().map_err(|_| Lost)? {
                if let BackendEvent::Answered { answer, .. } = event
                    && let Some(call) = self.calls.pop_front()
                {
                    connection.running = false;
                    // An answer that is not a report tells as little about the instance as none.
                    let result = protocol.report(&answer);
                    report(call.tag, result.map_err(|_| ProbeFailure::ConnectionLost));
                }
            }
        }
        self.send_next(io, key, protocol)
    }

    fn connect(&mut self, io: &IoContext, key: MonitorSocketKey) -> Result<(), Lost> {
        let tcp = connect(self.address).map_err(|_| Lost)?;
        let (codec, startup) = BackendCodec::connect(USER, &self.database);
        let mut stream = Stream::new(tcp, OUTPUT_LIMIT_BYTES);
        stream.output.push(startup);
        io.register(&mut stream.tcp, key.into()).map_err(|_| Lost)?;
        let connection = Connection { stream, codec, connected: false, running: false };
        self.connection = Some(connection);
        Ok(())
    }

    /// Sends the next call if the connection is free, and writes what waits.
    fn send_next(
        &mut self,
        io: &mut IoContext,
        key: MonitorSocketKey,
        protocol: &impl GroupProtocol,
    ) -> Result<(), Lost> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if !connection.running && connection.codec.is_idle() {
            if let Some(call) = self.calls.front() {
                connection.running = true;
                connection.codec.start_payload(REPORT_LIMIT_BYTES);
                connection.stream.output.push(protocol.payload(call.operation));
                self.idle_deadline_us = u64::MAX;
            } else if self.idle_deadline_us == u64::MAX {
                self.idle_deadline_us = io.now_us + IDLE_LIMIT_US;
                self.arm(io, key);
            }
        }
        if let Some(connection) = &mut self.connection {
            connection.stream.flush().map_err(|_| Lost)?;
        }
        Ok(())
    }

    /// Whether the connection has been idle for too long.
    pub(super) fn is_stale(&self, now_us: u64) -> bool {
        self.calls.is_empty() && (self.idle_deadline_us <= now_us || self.connection.is_none())
    }

    /// Removes the calls whose deadline has passed. If one of them has been sent, the connection is
    /// closed, because its answer could be taken for that of the next call.
    pub(super) fn expire(&mut self, io: &IoContext) -> Vec<T> {
        let now_us = io.now_us;
        let due = |call: &InstanceCall<T>| call.deadline_us <= now_us;
        let running = self.connection.as_ref().is_some_and(|connection| connection.running);
        if running && self.calls.front().is_some_and(due) {
            self.disconnect(io);
        } else if !running && !self.calls.is_empty() && self.calls.iter().all(due) {
            // The connection was not established while any call waited for it.
            self.disconnect(io);
        }
        let expired = self.calls.iter().filter(|call| due(call)).map(|call| call.tag).collect();
        self.calls.retain(|call| !due(call));
        expired
    }

    pub(super) fn disconnect(&mut self, io: &IoContext) {
        if let Some(mut connection) = self.connection.take() {
            // The socket is closed right after; a failure to deregister it changes nothing.
            let _ = io.registry.deregister(&mut connection.stream.tcp);
        }
    }
}
