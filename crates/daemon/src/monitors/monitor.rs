//! A monitor connection.

use std::collections::VecDeque;
use std::net::SocketAddr;

use flamingorock_core::InstanceId;
use flamingorock_core::traffic::ProbeFailure;
use flamingorock_frontend::{BackendCodec, BackendEvent, GroupProtocol};

use super::{InstanceCall, InstanceCallResult, MonitorTarget};
use crate::io_context::IoContext;
use crate::net::{MonitorSocketKey, ReadOutcome, Stream, connect, is_connected};

/// Maximum size of a response to a call.
const REPORT_LIMIT_BYTES: usize = 64 * 1024;

/// Maximum size of the unwritten output, which is a startup message or one call.
const OUTPUT_LIMIT_BYTES: usize = 64 * 1024;

/// Time without calls after which a connection is closed, so that a former owner does not use up
/// connections of an instance. It is longer than the gaps between the requests of a database with
/// little load, since opening a connection takes about 12 ms.
const IDLE_TIMEOUT_US: u64 = 10_000_000;

/// User of all connections to backend servers.
const USER: &str = "flamingorock";

/// An established connection, or one that is being opened.
#[derive(Debug)]
struct Connection {
    stream: Stream,
    codec: BackendCodec,
    connected: bool,
    /// Whether the first call in the queue has been sent.
    running: bool,
}

/// A monitor connection, its running call and its queued calls.
#[derive(Debug)]
pub(super) struct Monitor<T> {
    pub(super) instance: InstanceId,
    pub(super) address: SocketAddr,
    database: String,
    /// `None` before the first call and after a disconnection.
    connection: Option<Connection>,
    /// Calls in order; the first one is running if the connection says so.
    pub(super) calls: VecDeque<InstanceCall<T>>,
    /// When to close the idle connection; `u64::MAX` if it is not idle.
    idle_deadline_us: u64,
    /// Earliest entry of this monitor in the thread's deadlines; `u64::MAX` if there is none.
    armed_us: u64,
}

/// The connection was lost or could not be opened.
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

    /// Adds the earliest deadline of this monitor to the thread's deadlines, unless it has an entry
    /// that is not later.
    pub(super) fn arm(&mut self, io: &mut IoContext, key: MonitorSocketKey) {
        let calls = self.calls.iter().map(|call| call.deadline_us);
        let next_us = calls.chain([self.idle_deadline_us]).min().unwrap_or(u64::MAX);
        if next_us < self.armed_us {
            self.armed_us = next_us;
            io.deadlines.add(next_us, key.into());
        }
    }

    /// Records that the entry in the thread's deadlines has been removed because it was due.
    pub(super) fn disarm(&mut self) {
        self.armed_us = u64::MAX;
    }

    /// Whether the deadline of a call has passed.
    pub(super) fn is_due(&self, now_us: u64) -> bool {
        self.calls.iter().any(|call| call.deadline_us <= now_us)
    }

    /// Makes as much progress as possible without blocking: connects if there are calls, reads
    /// responses, and sends the next call.
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
                    // A response that does not parse as a report counts as a lost connection, since
                    // nothing is known of the instance either way.
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

    /// Sends the next call if the connection is idle, starts the idle timeout if there is none, and
    /// writes queued output.
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
                self.idle_deadline_us = io.now_us + IDLE_TIMEOUT_US;
                self.arm(io, key);
            }
        }
        if let Some(connection) = &mut self.connection {
            connection.stream.flush().map_err(|_| Lost)?;
        }
        Ok(())
    }

    /// Whether there are no calls and the connection is closed or has reached the idle timeout.
    pub(super) fn has_idled_out(&self, now_us: u64) -> bool {
        self.calls.is_empty() && (self.idle_deadline_us <= now_us || self.connection.is_none())
    }

    /// Removes the calls whose deadline has passed, and returns their tags. If one of them has been
    /// sent, the connection is closed, because its response could be taken for that of the next
    /// call.
    pub(super) fn expire(&mut self, io: &IoContext) -> Vec<T> {
        let now_us = io.now_us;
        let due = |call: &InstanceCall<T>| call.deadline_us <= now_us;
        let running = self.connection.as_ref().is_some_and(|connection| connection.running);
        if running && self.calls.front().is_some_and(due) {
            self.disconnect(io);
        } else if !running && !self.calls.is_empty() && self.calls.iter().all(due) {
            // The connection was not established before the deadline of any call.
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
