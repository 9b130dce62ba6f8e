//! A connection to a backend server.

use std::net::SocketAddr;

use flamingorock_core::traffic::ConnectionLoss;
use flamingorock_core::{ConnectionKey, WorkItemKey};
use flamingorock_frontend::{BackendCodec, BackendError, BackendEvent};
use mio::Token;

use crate::io_context::IoContext;
use crate::net::{READ_BUDGET_BYTES, ReadOutcome, Stream, connect, is_connected};

/// Time to open a connection, including the startup exchange.
const OPEN_TIMEOUT_US: u64 = 1_000_000;

/// Time to reset a connection. If a backend server needs longer, opening a new connection is the
/// better choice.
const RESET_TIMEOUT_US: u64 = 5_000_000;

/// User of all connections to backend servers.
const USER: &str = "flamingorock";

/// A connection to a backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) connection: ConnectionKey,
    pub(super) address: SocketAddr,
    pub(super) stream: Stream,
    pub(super) codec: BackendCodec,
    /// Work item of the running request.
    pub(super) work: Option<WorkItemKey>,
    /// When opening or resetting the connection must be complete; `None` at other times.
    pub(super) deadline_us: Option<u64>,
    /// Whether the TCP connection is established.
    connected: bool,
    /// Whether the startup exchange is complete.
    opened: bool,
}

/// The connection was lost or must be closed, with the reason that the machine gets.
pub(super) struct Lost(pub(super) ConnectionLoss);

impl Backend {
    pub(super) fn connect(
        io: &IoContext,
        connection: ConnectionKey,
        address: SocketAddr,
        database: &str,
    ) -> std::io::Result<Self> {
        let tcp = connect(address)?;
        let (codec, startup) = BackendCodec::connect(USER, database);
        // The size of one request bounds the output, since only one runs at a time.
        let mut stream = Stream::new(tcp, usize::MAX);
        stream.output.push(startup);
        Ok(Self {
            connection,
            address,
            stream,
            codec,
            work: None,
            deadline_us: Some(io.now_us + OPEN_TIMEOUT_US),
            connected: false,
            opened: false,
        })
    }

    pub(super) fn start_reset_deadline(&mut self, now_us: u64) {
        self.deadline_us = Some(now_us + RESET_TIMEOUT_US);
    }

    /// Writes queued output, reads up to the read budget, and reports the decoded events.
    pub(super) fn advance(
        &mut self,
        io: &mut IoContext,
        token: Token,
        mut report: impl FnMut(BackendEvent),
    ) -> Result<(), Lost> {
        self.flush(io)?;
        if !self.connected {
            return Ok(());
        }
        let mut total_bytes = 0;
        self.stream.start_reading();
        while total_bytes < READ_BUDGET_BYTES {
            match self.stream.read(&mut io.scratch, usize::MAX) {
                ReadOutcome::Data(bytes) => {
                    total_bytes += bytes.len();
                    io.metrics.backend_received_bytes.inc_by(bytes.len() as u64);
                    self.codec.receive(bytes);
                }
                ReadOutcome::Drained => return Ok(()),
                ReadOutcome::Closed => return Err(Lost(self.loss())),
            }
            self.report_events(&mut report)?;
        }
        io.pending_reads.push_back(token);
        Ok(())
    }

    fn report_events(&mut self, report: &mut impl FnMut(BackendEvent)) -> Result<(), Lost> {
        loop {
            match self.codec.next_event() {
                Ok(Some(event)) => {
                    self.opened = true;
                    if event == BackendEvent::Opened || event == BackendEvent::Reset {
                        self.deadline_us = None;
                    }
                    report(event);
                }
                Ok(None) => return Ok(()),
                Err(BackendError::AnswerTooLarge { .. }) => {
                    return Err(Lost(ConnectionLoss::AnswerTooLarge));
                }
                Err(error) => {
                    let address = self.address;
                    tracing::debug!(%address, %error, "backend server connection closed");
                    return Err(Lost(self.loss()));
                }
            }
        }
    }

    /// Writes queued output if the TCP connection is established.
    pub(super) fn flush(&mut self, io: &IoContext) -> Result<(), Lost> {
        if !self.connected {
            self.connected = is_connected(&self.stream.tcp).map_err(|_| Lost(self.loss()))?;
        }
        if self.connected {
            let written_bytes = self.stream.flush().map_err(|_| Lost(self.loss()))?;
            io.metrics.backend_sent_bytes.inc_by(written_bytes);
        }
        Ok(())
    }

    /// Reason to report if the connection is lost now: `ConnectFailed` until it has been opened.
    pub(super) fn loss(&self) -> ConnectionLoss {
        if self.opened { ConnectionLoss::Broken } else { ConnectionLoss::ConnectFailed }
    }
}
