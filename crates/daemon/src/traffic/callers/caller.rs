//! A caller's connection.

use flamingorock_core::traffic::{Event, Traffic};
use flamingorock_core::{CallerKey, DatabaseId, ResultCode, TransactionStatus};
use flamingorock_frontend::{
    CallerCodec, CallerMessage, Greeting, Refusal, Request, StartupRequest,
};
use flamingorock_peer::CallerCancel;
use mio::Token;
use mio::net::TcpStream;

use super::pending_disconnect::PendingDisconnect;
use super::rules::Rules;
use crate::io_context::IoContext;
use crate::machine_driver::MachineDriver;
use crate::metrics::CodeLabel;
use crate::net::{READ_BUDGET_BYTES, ReadOutcome, Stream};

/// Time from accepting a connection until its startup message must have arrived.
const STARTUP_TIMEOUT_US: u64 = 10_000_000;

/// Delay between the last message to a caller and the half-close of the connection. A driver that
/// receives both at once may report the closed connection instead of the message.
const HALF_CLOSE_DELAY_US: u64 = 100_000;

/// Time that the caller has to read the last reply and to close its side.
const CLOSING_TIMEOUT_US: u64 = 2_000_000;

/// Amount of unwritten output above which no further message of the caller is handled.
const OUTPUT_BACKLOG_BYTES: usize = 1024 * 1024;

/// Limit of unwritten output before the rules of a service apply.
const INITIAL_OUTPUT_LIMIT_BYTES: usize = 64 * 1024;

/// What to do next with a connection.
pub(super) enum NextStep {
    /// Wait for the next event.
    Wait,
    /// The caller opens a session.
    Open(Box<StartupRequest>),
    /// The connection carried a cancel request and is closed.
    Cancel(CallerCancel),
    /// End the session with an error, and close the connection once that is written.
    Refuse(ResultCode),
    /// End the session and close the connection once all output has been written.
    CloseAfterOutput,
    /// Close the connection.
    Close,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Startup,
    Open,
    /// The last message is queued or has just been written.
    Closing,
    /// The sending side is shut down, or will be once the output is written; the caller is expected
    /// to close its side.
    HalfClosed,
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) stream: Stream,
    pub(super) codec: CallerCodec,
    /// Key of the session in the machine; `None` before startup and after the session's end.
    pub(super) session: Option<CallerKey>,
    /// Cancel key of the session, revoked when the session ends.
    pub(super) cancel_key: Option<CallerCancel>,
    /// Deadline of the startup, the pending disconnection or the closing.
    pub(super) deadline_us: Option<u64>,
    pending_disconnect: Option<PendingDisconnect>,
    database: Option<DatabaseId>,
    phase: Phase,
    /// Whether unread bytes in the socket or unhandled messages in the codec wait for output to be
    /// written.
    reading_paused: bool,
}

impl Caller {
    pub(super) fn new(tcp: TcpStream, now_us: u64) -> Self {
        Self {
            stream: Stream::new(tcp, INITIAL_OUTPUT_LIMIT_BYTES),
            codec: CallerCodec::new(),
            session: None,
            cancel_key: None,
            deadline_us: Some(now_us + STARTUP_TIMEOUT_US),
            pending_disconnect: None,
            database: None,
            phase: Phase::Startup,
            reading_paused: false,
        }
    }

    /// Completes the startup exchange of a session that the machine has opened.
    pub(super) fn greet(
        &mut self,
        startup: &StartupRequest,
        greeting: &Greeting,
        database: DatabaseId,
        rules: &Rules,
    ) -> Result<(), Refusal> {
        let reply = self.codec.accept(startup, greeting)?;
        self.stream.output.push(reply);
        self.phase = Phase::Open;
        self.deadline_us = None;
        self.database = Some(database);
        self.apply_rules(rules);
        Ok(())
    }

    /// Applies the rules of a new configuration. If it lacks the database, the old rules stay and
    /// the machine refuses the requests.
    pub(super) fn apply_rules(&mut self, rules: &Rules) {
        if let Some(rules) = self.database.and_then(|database| rules.for_database(database)) {
            self.codec.set_rules(std::sync::Arc::clone(&rules.ranks), rules.limits);
            self.stream.output.set_limit(rules.output_limit_bytes);
        }
    }

    /// Schedules the disconnection after a delay. A code and an end of the grace period that were
    /// set earlier stay.
    pub(super) fn schedule_disconnect(&mut self, code: ResultCode, now_us: u64) {
        self.pending_disconnect.get_or_insert(PendingDisconnect::new(code, now_us));
        self.deadline_us = Some(PendingDisconnect::deadline_us(now_us));
    }

    /// Returns the error code if the caller is to be disconnected now, or `None` if not yet. In
    /// that case a request that has arrived in part sets a new deadline for its completion.
    pub(super) fn disconnect_code(&mut self, now_us: u64) -> Option<ResultCode> {
        let pending = self.pending_disconnect.filter(|_| !self.codec.is_in_flight())?;
        if self.codec.buffered_bytes() > 0
            && let Some(deadline_us) = pending.request_deadline_us(now_us)
        {
            self.deadline_us = Some(deadline_us);
            return None;
        }
        Some(pending.code)
    }

    /// Stops handling the caller's messages and starts to close its connection.
    pub(super) fn start_closing(&mut self, now_us: u64) {
        self.phase = Phase::Closing;
        self.pending_disconnect = None;
        self.deadline_us = Some(now_us + HALF_CLOSE_DELAY_US);
    }

    /// Whether input from the caller is discarded.
    fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing | Phase::HalfClosed)
    }

    /// Shuts down the sending side of the connection some time after the last message. Returns
    /// `false` if that was done before and the caller has not closed its side in time. Closing both
    /// sides at once while the caller is still sending would cause a reset, on which the caller's
    /// system could drop the last message.
    pub(super) fn half_close(&mut self, now_us: u64) -> bool {
        if self.phase != Phase::Closing {
            return false;
        }
        self.phase = Phase::HalfClosed;
        self.deadline_us = Some(now_us + CLOSING_TIMEOUT_US);
        if self.stream.output.is_empty() {
            self.stream.shutdown_write();
        }
        true
    }

    /// Writes queued output, and resumes reading once all of it is written.
    pub(super) fn write(&mut self, io: &mut IoContext, token: Token) -> NextStep {
        if !self.stream.output.is_empty() {
            let Ok(written_bytes) = self.stream.flush() else { return NextStep::Close };
            io.metrics.caller_sent_bytes.inc_by(written_bytes);
        }
        if self.stream.output.is_empty() {
            if self.phase == Phase::HalfClosed {
                self.stream.shutdown_write();
            } else if core::mem::take(&mut self.reading_paused) {
                io.pending_reads.push_back(token);
            }
        }
        NextStep::Wait
    }

    /// Reads up to the read budget and handles the messages.
    pub(super) fn read(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        token: Token,
    ) -> NextStep {
        let mut total_bytes = 0;
        self.stream.start_reading();
        while total_bytes < READ_BUDGET_BYTES {
            let capacity_bytes = self.receive_capacity();
            if capacity_bytes == 0 {
                self.reading_paused = true;
                return NextStep::Wait;
            }
            match self.stream.read(&mut io.scratch, capacity_bytes) {
                ReadOutcome::Data(bytes) => {
                    total_bytes += bytes.len();
                    io.metrics.caller_received_bytes.inc_by(bytes.len() as u64);
                    if !self.is_closing() {
                        self.codec.receive(bytes);
                    }
                }
                ReadOutcome::Drained => return self.handle_messages(io, machine, rules, token),
                ReadOutcome::Closed => return NextStep::Close,
            }
            match self.handle_messages(io, machine, rules, token) {
                NextStep::Wait => {}
                other => return other,
            }
        }
        io.pending_reads.push_back(token);
        NextStep::Wait
    }

    /// Number of bytes that may be read now. Input that is discarded is not limited.
    fn receive_capacity(&self) -> usize {
        if self.is_closing() { usize::MAX } else { self.codec.room() }
    }

    /// Handles the complete messages in the codec, up to a request whose reply the following
    /// messages must wait for.
    pub(super) fn handle_messages(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        token: Token,
    ) -> NextStep {
        let before_bytes = self.stream.output.len();
        let next = loop {
            if self.is_closing() {
                break NextStep::Wait;
            }
            if self.stream.output.len() > OUTPUT_BACKLOG_BYTES {
                self.reading_paused = true;
                break NextStep::Wait;
            }
            let Some(message) = self.codec.next_message() else { break NextStep::Wait };
            match self.handle_message(io, machine, rules, message) {
                NextStep::Wait => {}
                other => break other,
            }
        };
        if self.stream.output.len() > before_bytes {
            io.dirty.push(token);
        } else if self.reading_paused && self.receive_capacity() > 0 {
            self.reading_paused = false;
            io.pending_reads.push_back(token);
        }
        next
    }

    fn handle_message(
        &mut self,
        io: &IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        message: CallerMessage,
    ) -> NextStep {
        match message {
            CallerMessage::Startup(startup) => return NextStep::Open(Box::new(startup)),
            CallerMessage::Cancel { process_id, secret_key: secret } => {
                return NextStep::Cancel(CallerCancel { process_id, secret });
            }
            CallerMessage::Terminate => return NextStep::Close,
            CallerMessage::Request(request) => return self.submit(io, machine, rules, request),
            CallerMessage::EncryptionRequest { answer } | CallerMessage::LocalAnswer { answer } => {
                self.stream.output.push(answer);
            }
            CallerMessage::Refused { code, answer } => {
                count_refusal(io, code);
                self.stream.output.push(answer);
            }
            CallerMessage::Violation { error, answer, goes_on } => {
                count_refusal(io, error.code());
                self.stream.output.push(answer);
                if !goes_on {
                    return NextStep::CloseAfterOutput;
                }
            }
        }
        NextStep::Wait
    }

    fn submit(
        &mut self,
        io: &IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        request: Request,
    ) -> NextStep {
        let (Some(caller), Some(database)) = (self.session, self.database) else {
            return NextStep::Close;
        };
        io.metrics.requests.inc();
        let is_idle = self.codec.status() == TransactionStatus::Idle;
        if let Some(pending) =
            self.pending_disconnect.filter(|it| is_idle && it.refuses_requests(io.now_us))
        {
            return NextStep::Refuse(pending.code);
        }
        match rules.translate_request(database, request, io.now_us) {
            Ok(request) => machine.push(Event::RequestReceived { caller, request }),
            Err(code) => {
                count_refusal(io, code);
                let status = self.codec.status();
                let reply = self.codec.refuse(&Refusal::new(code, ""), status);
                self.stream.output.push(reply);
            }
        }
        NextStep::Wait
    }

    /// Whether a deadline applies and has passed. An open session has one only while a
    /// disconnection is pending.
    pub(super) fn is_overdue(&self, now_us: u64) -> bool {
        let applies = self.phase != Phase::Open || self.pending_disconnect.is_some();
        applies && self.deadline_us.is_some_and(|deadline_us| deadline_us <= now_us)
    }

    /// Whether the session is open and scheduled for disconnection.
    pub(super) fn is_disconnect_pending(&self) -> bool {
        self.pending_disconnect.is_some()
    }
}

fn count_refusal(io: &IoContext, code: ResultCode) {
    io.metrics.requests_refused.get_or_create(&CodeLabel { code: code.number() }).inc();
}
