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

/// Time until the startup message must have arrived.
const STARTUP_LIMIT_US: u64 = 10_000_000;

/// Time between the last message to a caller and the end of the connection. A driver that sees both at
/// once may report the end instead of the message.
const FINISH_DELAY_US: u64 = 100_000;

/// Time that the caller gets to read the last answer and to close its side.
const CLOSING_LIMIT_US: u64 = 2_000_000;

/// Output that waits from which on no further message of the caller is taken.
const OUTPUT_BACKLOG_BYTES: usize = 1024 * 1024;

/// Limit of the output until the rules of a service apply.
const FIRST_OUTPUT_LIMIT_BYTES: usize = 64 * 1024;

/// What to do next with a connection.
pub(super) enum Next {
    /// Wait for the next event.
    Wait,
    /// The caller opens a session.
    Open(Box<StartupRequest>),
    /// The connection carried a cancel request and is closed.
    Cancel(CallerCancel),
    /// Tell the caller why its session ends, and close the connection once that is written.
    Refuse(ResultCode),
    /// End the session and close the connection once everything has been written.
    Leave,
    /// Close the connection.
    Close,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Startup,
    Open,
    /// The last message is on its way.
    Closing,
    /// This side of the connection is closed; the caller is to close its own.
    Finished,
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) stream: Stream,
    pub(super) codec: CallerCodec,
    /// Key of the session at the machine.
    pub(super) session: Option<CallerKey>,
    pub(super) cancel_key: Option<CallerCancel>,
    pub(super) deadline_us: Option<u64>,
    pending_disconnect: Option<PendingDisconnect>,
    database: Option<DatabaseId>,
    phase: Phase,
    /// Whether the socket has not been read to the end or messages were left in the codec.
    held_back: bool,
}

impl Caller {
    pub(super) fn new(tcp: TcpStream, now_us: u64) -> Self {
        Self {
            stream: Stream::new(tcp, FIRST_OUTPUT_LIMIT_BYTES),
            codec: CallerCodec::new(),
            session: None,
            cancel_key: None,
            deadline_us: Some(now_us + STARTUP_LIMIT_US),
            pending_disconnect: None,
            database: None,
            phase: Phase::Startup,
            held_back: false,
        }
    }

    /// Greets the caller of a session that has been opened.
    pub(super) fn greet(
        &mut self,
        startup: &StartupRequest,
        greeting: &Greeting,
        database: DatabaseId,
        rules: &Rules,
    ) -> Result<(), Refusal> {
        let answer = self.codec.accept(startup, greeting)?;
        self.stream.output.push(answer);
        self.phase = Phase::Open;
        self.deadline_us = None;
        self.database = Some(database);
        self.apply_rules(rules);
        Ok(())
    }

    /// Puts the rules of a new configuration into force. Without the database the old ones stay;
    /// the machine refuses the requests.
    pub(super) fn apply_rules(&mut self, rules: &Rules) {
        if let Some(rules) = self.database.and_then(|database| rules.of(database)) {
            self.codec.set_rules(std::sync::Arc::clone(&rules.ranks), rules.limits);
            self.stream.output.set_limit(rules.output_limit_bytes);
        }
    }

    /// Has the caller disconnected after a pause.
    pub(super) fn schedule_disconnect(&mut self, code: ResultCode, now_us: u64) {
        self.pending_disconnect.get_or_insert(PendingDisconnect::new(code, now_us));
        self.deadline_us = Some(PendingDisconnect::deadline_us(now_us));
    }

    /// Code to tell the caller that is to be disconnected now; `None` if it is to wait. Then there
    /// may be a new deadline, for the rest of a request that has arrived in part.
    pub(super) fn disconnect_code(&mut self, now_us: u64) -> Option<ResultCode> {
        let pending = self.pending_disconnect.filter(|_| !self.codec.is_in_flight())?;
        if self.codec.buffered_bytes() > 0
            && let Some(deadline_us) = pending.rest_deadline_us(now_us)
        {
            self.deadline_us = Some(deadline_us);
            return None;
        }
        Some(pending.code)
    }

    /// Takes nothing more from the caller and closes its connection once everything is written.
    pub(super) fn start_closing(&mut self, now_us: u64) {
        self.phase = Phase::Closing;
        self.pending_disconnect = None;
        self.deadline_us = Some(now_us + FINISH_DELAY_US);
    }

    /// Whether nothing more is taken from the caller.
    fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing | Phase::Finished)
    }

    /// Closes this side of the connection some time after the last message. Returns `false` if it is
    /// closed already and the caller has not closed its own in time. To close the whole connection at
    /// once could make the caller's system drop the last message if it is still sending.
    pub(super) fn finish(&mut self, now_us: u64) -> bool {
        if self.phase != Phase::Closing {
            return false;
        }
        self.phase = Phase::Finished;
        self.deadline_us = Some(now_us + CLOSING_LIMIT_US);
        if self.stream.output.is_empty() {
            self.stream.shutdown_write();
        }
        true
    }

    /// Writes what waits.
    pub(super) fn write(&mut self, io: &mut IoContext, token: Token) -> Next {
        if !self.stream.output.is_empty() {
            let Ok(written_bytes) = self.stream.flush() else { return Next::Close };
            io.metrics.caller_sent_bytes.inc_by(written_bytes);
        }
        if self.stream.output.is_empty() {
            if self.phase == Phase::Finished {
                self.stream.shutdown_write();
            } else if core::mem::take(&mut self.held_back) {
                io.pending_reads.push_back(token);
            }
        }
        Next::Wait
    }

    /// Reads what has arrived and takes the messages in it.
    pub(super) fn read(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        token: Token,
    ) -> Next {
        let mut total_bytes = 0;
        self.stream.start_reading();
        while total_bytes < READ_BUDGET_BYTES {
            let room = self.room();
            if room == 0 {
                self.held_back = true;
                return Next::Wait;
            }
            match self.stream.read(&mut io.scratch, room) {
                ReadOutcome::Data(bytes) => {
                    total_bytes += bytes.len();
                    io.metrics.caller_received_bytes.inc_by(bytes.len() as u64);
                    if !self.is_closing() {
                        self.codec.receive(bytes);
                    }
                }
                ReadOutcome::Drained => return self.take_messages(io, machine, rules, token),
                ReadOutcome::Closed => return Next::Close,
            }
            match self.take_messages(io, machine, rules, token) {
                Next::Wait => {}
                other => return other,
            }
        }
        io.pending_reads.push_back(token);
        Next::Wait
    }

    fn room(&self) -> usize {
        if self.is_closing() { usize::MAX } else { self.codec.room() }
    }

    /// Takes the messages that have arrived whole, up to a request that must be answered first.
    pub(super) fn take_messages(
        &mut self,
        io: &mut IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        token: Token,
    ) -> Next {
        let before_bytes = self.stream.output.len();
        let next = loop {
            if self.is_closing() {
                break Next::Wait;
            }
            if self.stream.output.len() > OUTPUT_BACKLOG_BYTES {
                self.held_back = true;
                break Next::Wait;
            }
            let Some(message) = self.codec.next_message() else { break Next::Wait };
            match self.take(io, machine, rules, message) {
                Next::Wait => {}
                other => break other,
            }
        };
        if self.stream.output.len() > before_bytes {
            io.dirty.push(token);
        } else if self.held_back && self.room() > 0 {
            self.held_back = false;
            io.pending_reads.push_back(token);
        }
        next
    }

    fn take(
        &mut self,
        io: &IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        message: CallerMessage,
    ) -> Next {
        match message {
            CallerMessage::Startup(startup) => return Next::Open(Box::new(startup)),
            CallerMessage::Cancel { process_id, secret_key: secret } => {
                return Next::Cancel(CallerCancel { process_id, secret });
            }
            CallerMessage::Terminate => return Next::Close,
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
                    return Next::Leave;
                }
            }
        }
        Next::Wait
    }

    fn submit(
        &mut self,
        io: &IoContext,
        machine: &mut MachineDriver<Traffic>,
        rules: &Rules,
        request: Request,
    ) -> Next {
        let (Some(caller), Some(database)) = (self.session, self.database) else {
            return Next::Close;
        };
        io.metrics.requests.inc();
        let is_idle = self.codec.status() == TransactionStatus::Idle;
        if let Some(pending) = self.pending_disconnect.filter(|it| is_idle && it.refuses(io.now_us))
        {
            return Next::Refuse(pending.code);
        }
        match rules.request(database, request, io.now_us) {
            Ok(request) => machine.push(Event::RequestReceived { caller, request }),
            Err(code) => {
                count_refusal(io, code);
                let status = self.codec.status();
                let answer = self.codec.refuse(&Refusal::new(code, ""), status);
                self.stream.output.push(answer);
            }
        }
        Next::Wait
    }

    /// Whether a deadline applies and has passed.
    pub(super) fn is_overdue(&self, now_us: u64) -> bool {
        let applies = self.phase != Phase::Open || self.pending_disconnect.is_some();
        applies && self.deadline_us.is_some_and(|deadline_us| deadline_us <= now_us)
    }

    /// Whether the session is open and is to be ended.
    pub(super) fn is_disconnect_pending(&self) -> bool {
        self.pending_disconnect.is_some()
    }
}

fn count_refusal(io: &IoContext, code: ResultCode) {
    io.metrics.requests_refused.get_or_create(&CodeLabel { code: code.number() }).inc();
}
