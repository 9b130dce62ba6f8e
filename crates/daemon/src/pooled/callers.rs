//! Connections of callers.

use std::collections::HashMap;

use flamingorock_core::arena::Arena;
use flamingorock_jardinet::{CallerCodec, CallerMessage, LineError};
use flamingorock_pool::traffic::{Event, Reply, Traffic};
use flamingorock_pool::{ErrorCode, SessionKey};
use mio::net::TcpStream;
use mio::{Interest, Registry};

use crate::net::{
    CALLER_TCP_TIMEOUT, CallerSocketKey, READ_BUDGET_BYTES, ReadOutcome, Scratch, Stream,
    set_stream_options,
};

/// Limit of the output buffered for one caller. The connection is closed if the caller reads so
/// slowly that the output exceeds it.
const OUTPUT_LIMIT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug)]
struct Caller {
    stream: Stream,
    codec: CallerCodec,
    session: SessionKey,
    /// Whether the caller has asked for a session; statements are allowed only afterwards.
    has_started: bool,
    /// Whether the connection is to be closed once its output has been written.
    is_closing: bool,
}

/// Table of the connected callers, with their codecs and output buffers.
#[derive(Debug)]
pub struct Callers {
    sockets: Arena<CallerSocketKey, Caller>,
    by_session: HashMap<SessionKey, CallerSocketKey>,
    /// Connections with output to flush.
    dirty: Vec<CallerSocketKey>,
}

impl Callers {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { sockets: Arena::new(), by_session: HashMap::new(), dirty: Vec::new() }
    }

    /// Adds an accepted connection and opens its session.
    pub fn add(&mut self, tcp: TcpStream, registry: &Registry, machine: &mut Traffic) {
        // The connection works without these options.
        if let Err(error) = set_stream_options(&tcp, CALLER_TCP_TIMEOUT) {
            tracing::debug!(event = "caller_options", %error);
        }
        let session = machine.open_session();
        let caller = Caller {
            stream: Stream::new(tcp, OUTPUT_LIMIT_BYTES),
            codec: CallerCodec::default(),
            session,
            has_started: false,
            is_closing: false,
        };
        let key = self.sockets.insert(caller);
        self.by_session.insert(session, key);
        let Some(caller) = self.sockets.get_mut(key) else { return };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registry.register(&mut caller.stream.tcp, key.into(), interest).is_err() {
            self.remove(key, machine);
        }
    }

    /// Handles readiness of a caller's socket: marks pending output for the next flush and reads.
    /// Returns whether the read budget ran out, so that the socket may have more to read although
    /// the poll does not report it again.
    pub fn advance(
        &mut self,
        key: CallerSocketKey,
        scratch: &mut Scratch,
        machine: &mut Traffic,
    ) -> bool {
        let Some(caller) = self.sockets.get_mut(key) else { return false };
        if !caller.stream.output.is_empty() {
            self.dirty.push(key);
        }
        caller.stream.start_reading();
        let mut budget_bytes = READ_BUDGET_BYTES;
        loop {
            match caller.stream.read(scratch, budget_bytes) {
                ReadOutcome::Drained => return false,
                ReadOutcome::Closed => {
                    self.remove(key, machine);
                    return false;
                }
                ReadOutcome::Data(_) if caller.is_closing => {}
                ReadOutcome::Data(bytes) => {
                    budget_bytes = budget_bytes.saturating_sub(bytes.len());
                    caller.codec.push(bytes);
                    if let Err(error) = caller.decode_messages(machine) {
                        caller.refuse_message(error, machine);
                        self.dirty.push(key);
                    }
                }
            }
            if budget_bytes == 0 {
                return true;
            }
        }
    }

    /// Tells a caller that its session has started.
    pub fn accept(&mut self, session: SessionKey) {
        if let Some(caller) = self.caller_to_flush(session) {
            CallerCodec::encode_accept(caller.stream.output.tail_mut());
        }
    }

    /// Refuses a session. The connection is closed once the refusal has been written.
    pub fn refuse(&mut self, session: SessionKey, code: ErrorCode, retry_after_ms: Option<u32>) {
        if let Some(caller) = self.caller_to_flush(session) {
            let reason = match code {
                ErrorCode::UnknownDatabase => "no database has this name",
                _ => "this proxy cannot start sessions now",
            };
            let tail = caller.stream.output.tail_mut();
            CallerCodec::encode_refusal(tail, code, reason, retry_after_ms);
            caller.is_closing = true;
        }
    }

    /// Sends the result of a statement.
    pub fn reply(&mut self, session: SessionKey, reply: &Reply) {
        if let Some(caller) = self.caller_to_flush(session) {
            CallerCodec::encode_reply(caller.stream.output.tail_mut(), reply);
        }
    }

    /// Closes the connection of a session once its output has been written.
    pub fn close(&mut self, session: SessionKey) {
        if let Some(caller) = self.caller_to_flush(session) {
            caller.is_closing = true;
        }
    }

    /// Finds the caller of a session and marks its connection for the next flush.
    fn caller_to_flush(&mut self, session: SessionKey) -> Option<&mut Caller> {
        let key = *self.by_session.get(&session)?;
        self.dirty.push(key);
        self.sockets.get_mut(key)
    }

    /// Writes the output of all marked connections. Closes those that fail, exceed the output limit
    /// or have written everything before their close.
    pub fn flush(&mut self, machine: &mut Traffic) {
        for key in core::mem::take(&mut self.dirty) {
            let Some(caller) = self.sockets.get_mut(key) else { continue };
            let has_failed = caller.stream.flush().is_err();
            let exceeds_limit = caller.stream.output.check_limit().is_err();
            let is_finished = caller.is_closing && caller.stream.output.is_empty();
            if has_failed || exceeds_limit || is_finished {
                self.remove(key, machine);
            }
        }
    }

    /// Closes a connection and reports the end of its session to the state machine.
    fn remove(&mut self, key: CallerSocketKey, machine: &mut Traffic) {
        if let Some(caller) = self.sockets.remove(key) {
            self.by_session.remove(&caller.session);
            machine.push(Event::SessionClosed { session: caller.session });
        }
    }
}

impl Caller {
    /// Passes all complete messages to the state machine.
    fn decode_messages(&mut self, machine: &mut Traffic) -> Result<(), LineError> {
        while let Some(message) = self.codec.next_message()? {
            let session = self.session;
            match message {
                CallerMessage::Start { database } if !self.has_started => {
                    self.has_started = true;
                    machine.push(Event::SessionStart { session, database });
                }
                CallerMessage::Query(query) if self.has_started => {
                    machine.push(Event::Query { session, query });
                }
                CallerMessage::Terminate => {
                    self.is_closing = true;
                    machine.push(Event::SessionClosed { session });
                }
                _ => return Err(LineError::Unexpected),
            }
        }
        Ok(())
    }

    /// Refuses a malformed message with an error. The connection is closed once it has been
    /// written.
    fn refuse_message(&mut self, error: LineError, machine: &mut Traffic) {
        let code = match error {
            LineError::TooLarge => ErrorCode::TooLarge,
            LineError::InvalidLineEnding | LineError::Unexpected => ErrorCode::Malformed,
        };
        let tail = self.stream.output.tail_mut();
        CallerCodec::encode_refusal(tail, code, &error.to_string(), None);
        self.is_closing = true;
        tracing::info!(event = "caller_malformed", %error);
        machine.push(Event::SessionClosed { session: self.session });
    }
}
