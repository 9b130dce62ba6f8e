//! The codec of one connection to a backend server.

use bytes::{Bytes, BytesMut};
use flamingorock_core::TransactionStatus;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{SecretKey, Startup};

use super::BackendError;
use super::answer::{Answer, AnswerScan, error_fields};
use crate::wire::{self, HEADER_BYTES, Header, Reader};

/// Settings of each session, which `DISCARD ALL` goes back to. They are those that callers are told
/// in the greeting, whatever the defaults of the role and the database are.
const SESSION_PARAMETERS: [(&str, &str); 5] = [
    ("application_name", "flamingorock"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("standard_conforming_strings", "on"),
];

/// Greatest size of a message of the greeting, or of one outside of an answer.
const MAX_OTHER_BYTES: usize = 64 * 1024;
/// Size of an answer from which the memory of the buffer is given up with it. Up to this size the
/// buffer is used again once the answer has been written.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;
/// Greatest size of the answer to one statement of a reset; warnings are part of it.
const MAX_RESET_BYTES: usize = 256 * 1024;

/// What a backend server has done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendEvent {
    /// The connection is ready for use.
    Opened,
    /// A payload has been answered.
    Answered {
        /// The whole answer up to and including `ReadyForQuery`.
        answer: Bytes,
        /// Transaction status after the answer.
        status: TransactionStatus,
        /// Whether the answer reports an error.
        failed: bool,
    },
    /// The session has been reset.
    Reset,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Greeting,
    Idle,
    Answer {
        limit_bytes: usize,
    },
    /// Answers still expected to the statements of a reset.
    Reset {
        statements: u8,
    },
    Broken,
}

/// The codec of one connection to a backend server.
#[derive(Debug)]
pub struct BackendCodec {
    buffer: BytesMut,
    phase: Phase,
    scan: AnswerScan,
    key: Option<(i32, i32)>,
}

impl BackendCodec {
    /// Creates the codec of a new connection and the startup message to write.
    #[must_use]
    pub fn connect(user: &str, database: &str) -> (Self, Bytes) {
        let mut startup = Startup::new();
        let identity = [("user", user), ("database", database)];
        for (name, value) in identity.into_iter().chain(SESSION_PARAMETERS) {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        let codec = Self {
            buffer: BytesMut::new(),
            phase: Phase::Greeting,
            scan: AnswerScan::default(),
            key: None,
        };
        (codec, wire::encode(&startup))
    }

    /// Takes received bytes. [`next_event`](Self::next_event) has to be called after each read, so
    /// that an answer that is too large is noticed before more is read.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Notes that a payload is being written whose answer may have the given size.
    pub fn start_payload(&mut self, max_answer_bytes: usize) {
        self.phase = Phase::Answer { limit_bytes: max_answer_bytes };
    }

    /// Starts a reset of the session. Returns the bytes to write: `ROLLBACK`, which gives a warning
    /// if no transaction is open, and `DISCARD ALL`, which cannot run in the same message because it
    /// must be outside of a transaction.
    pub fn start_reset(&mut self) -> Bytes {
        self.phase = Phase::Reset { statements: 2 };
        Bytes::from_static(b"Q\0\0\0\x0dROLLBACK\0Q\0\0\0\x10DISCARD ALL\0")
    }

    /// Bytes for a connection of its own that cancel what runs here; `None` if the backend server
    /// gave no key.
    #[must_use]
    pub fn cancel_request(&self) -> Option<Bytes> {
        let (process_id, secret_key) = self.key?;
        Some(wire::encode(&CancelRequest::new(process_id, SecretKey::I32(secret_key))))
    }

    /// Whether the connection waits for nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Takes the next event, or returns `None` until more bytes arrive. The connection must be
    /// closed after an error.
    pub fn next_event(&mut self) -> Result<Option<BackendEvent>, BackendError> {
        let event = match self.phase {
            Phase::Greeting | Phase::Idle => self.next_message(),
            Phase::Answer { limit_bytes } => self.next_answer(limit_bytes),
            Phase::Reset { statements } => self.next_reset(statements),
            Phase::Broken => Ok(None),
        };
        if event.is_err() {
            self.phase = Phase::Broken;
            self.buffer = BytesMut::new();
        }
        event
    }

    fn next_answer(&mut self, limit_bytes: usize) -> Result<Option<BackendEvent>, BackendError> {
        let answer = self.scan.advance(&mut self.buffer, limit_bytes)?;
        if answer.as_ref().is_some_and(|answer| answer.bytes.len() > KEPT_BUFFER_BYTES) {
            wire::release_if_empty(&mut self.buffer);
        }
        Ok(answer.map(|Answer { bytes, status, failed }| {
            self.phase = Phase::Idle;
            BackendEvent::Answered { answer: bytes, status, failed }
        }))
    }

    fn next_reset(&mut self, statements: u8) -> Result<Option<BackendEvent>, BackendError> {
        let mut statements = statements;
        while statements > 0 {
            let Some(answer) = self.scan.advance(&mut self.buffer, MAX_RESET_BYTES)? else {
                self.phase = Phase::Reset { statements };
                return Ok(None);
            };
            if answer.failed || answer.status != TransactionStatus::Idle {
                return Err(reset_failed(&answer.bytes));
            }
            statements -= 1;
        }
        self.phase = Phase::Idle;
        Ok(Some(BackendEvent::Reset))
    }

    /// Reads messages of the greeting and those that arrive while nothing is asked.
    fn next_message(&mut self) -> Result<Option<BackendEvent>, BackendError> {
        while let Some(header) = Header::read(&self.buffer) {
            let size = header.size.filter(|size| *size <= MAX_OTHER_BYTES);
            let size = size.ok_or(BackendError::MalformedMessage(header.tag))?;
            if self.buffer.len() < size {
                return Ok(None);
            }
            let message = self.buffer.split_to(size);
            if self.see(header.tag, &message[HEADER_BYTES..])? {
                self.phase = Phase::Idle;
                return Ok(Some(BackendEvent::Opened));
            }
        }
        Ok(None)
    }

    /// Handles a message outside of an answer. Returns whether it ends the greeting.
    fn see(&mut self, tag: u8, body: &[u8]) -> Result<bool, BackendError> {
        let is_greeting = self.phase == Phase::Greeting;
        let mut reader = Reader::new(body);
        match tag {
            b'S' if is_greeting => check_setting(reader).map(|()| false),
            b'S' | b'A' | b'N' => Ok(false),
            b'E' => {
                let (sqlstate, message) = error_fields(body);
                Err(BackendError::Refused { sqlstate, message })
            }
            b'R' if is_greeting => match reader.i32() {
                Some(0) => Ok(false),
                Some(kind) => Err(BackendError::Authentication(kind)),
                None => Err(BackendError::MalformedMessage(tag)),
            },
            b'K' if is_greeting => {
                let key = reader.i32().zip(reader.i32());
                self.key = Some(key.ok_or(BackendError::MalformedMessage(tag))?);
                Ok(false)
            }
            b'Z' if is_greeting => Ok(true),
            _ => Err(BackendError::UnexpectedMessage(tag)),
        }
    }
}

/// Checks a reported setting that the classification of statements depends on.
fn check_setting(mut reader: Reader<'_>) -> Result<(), BackendError> {
    let (Some(name), Some(value)) = (reader.string(), reader.string()) else {
        return Err(BackendError::MalformedMessage(b'S'));
    };
    let (name, is_accepted) = match name {
        b"client_encoding" => ("client_encoding", is_any(value, &["UTF8", "UTF-8"])),
        b"standard_conforming_strings" => ("standard_conforming_strings", is_any(value, &["on"])),
        _ => return Ok(()),
    };
    if is_accepted {
        return Ok(());
    }
    let value = String::from_utf8_lossy(value).into_owned();
    Err(BackendError::Setting { name, value })
}

fn is_any(value: &[u8], accepted: &[&str]) -> bool {
    accepted.iter().any(|accepted| value.eq_ignore_ascii_case(accepted.as_bytes()))
}

fn reset_failed(answer: &[u8]) -> BackendError {
    let mut rest = answer;
    while let Some((header, size)) =
        Header::read(rest).and_then(|header| Some((header, header.size?)))
    {
        if header.tag == b'E' {
            let (sqlstate, message) = error_fields(&rest[HEADER_BYTES..size]);
            return BackendError::ResetFailed { sqlstate, message };
        }
        rest = &rest[size..];
    }
    let message = "a transaction is still open".to_owned();
    BackendError::ResetFailed { sqlstate: String::new(), message }
}
