//! Sockets of callers.

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

/// Output that may wait for a caller that does not read.
const OUTPUT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug)]
struct Caller {
    stream: Stream,
    codec: CallerCodec,
    session: SessionKey,
    has_started: bool,
    /// Closed once its output has been written.
    is_closing: bool,
}

/// Callers of this proxy.
#[derive(Debug)]
pub struct Callers {
    sockets: Arena<CallerSocketKey, Caller>,
    by_session: HashMap<SessionKey, CallerSocketKey>,
    /// Sockets with new output.
    dirty: Vec<CallerSocketKey>,
}

impl Callers {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { sockets: Arena::new(), by_session: HashMap::new(), dirty: Vec::new() }
    }

    /// Adds a caller that has connected.
    pub fn add(&mut self, tcp: TcpStream, registry: &Registry, machine: &mut Traffic) {
        // Without its options the connection still works.
        if let Err(error) = set_stream_options(&tcp, CALLER_TCP_TIMEOUT) {
            tracing::debug!(event = "caller_options", %error);
        }
        let session = machine.open_session();
        let caller = Caller {
            stream: Stream::new(tcp, OUTPUT_BYTES),
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

    /// Reads from a caller whose socket is ready, and writes what waits for it. Returns whether more
    /// may be read at once.
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
                    if let Err(error) = caller.take_messages(machine) {
                        caller.refuse(error, machine);
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
        if let Some(caller) = self.output(session) {
            CallerCodec::encode_accept(caller.stream.output.tail_mut());
        }
    }

    /// Refuses a session and closes it.
    pub fn refuse(&mut self, session: SessionKey, code: ErrorCode, retry_after_ms: Option<u32>) {
        if let Some(caller) = self.output(session) {
            let reason = match code {
                ErrorCode::UnknownDatabase => "no database has this name",
                _ => "this proxy cannot start sessions now",
            };
            let tail = caller.stream.output.tail_mut();
            CallerCodec::encode_refusal(tail, code, reason, retry_after_ms);
            caller.is_closing = true;
        }
    }

    /// Answers a statement.
    pub fn reply(&mut self, session: SessionKey, reply: &Reply) {
        if let Some(caller) = self.output(session) {
            CallerCodec::encode_reply(caller.stream.output.tail_mut(), reply);
        }
    }

    /// Closes a session after what has been sent to it.
    pub fn close(&mut self, session: SessionKey) {
        if let Some(caller) = self.output(session) {
            caller.is_closing = true;
        }
    }

    fn output(&mut self, session: SessionKey) -> Option<&mut Caller> {
        let key = *self.by_session.get(&session)?;
        self.dirty.push(key);
        self.sockets.get_mut(key)
    }

    /// Writes all new output.
    pub fn flush(&mut self, machine: &mut Traffic) {
        for key in core::mem::take(&mut self.dirty) {
            let Some(caller) = self.sockets.get_mut(key) else { continue };
            let is_broken = caller.stream.flush().is_err();
            let is_stuck = caller.stream.output.check_limit().is_err();
            let is_done = caller.is_closing && caller.stream.output.is_empty();
            if is_broken || is_stuck || is_done {
                self.remove(key, machine);
            }
        }
    }

    fn remove(&mut self, key: CallerSocketKey, machine: &mut Traffic) {
        if let Some(caller) = self.sockets.remove(key) {
            self.by_session.remove(&caller.session);
            machine.push(Event::SessionClosed { session: caller.session });
        }
    }
}

impl Caller {
    fn take_messages(&mut self, machine: &mut Traffic) -> Result<(), LineError> {
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

    fn refuse(&mut self, error: LineError, machine: &mut Traffic) {
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
