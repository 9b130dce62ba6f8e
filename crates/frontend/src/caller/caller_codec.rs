//! The codec of one caller's connection.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use flamingorock_core::TransactionStatus;

use super::batch::Batch;
use super::frame::{Frame, take_frame};
use super::options::parse_options;
use super::session::Session;
use super::startup::{MAX_STARTUP_BYTES, take_startup};
use super::{
    AnswerMismatch, CallerLimits, CallerMessage, Greeting, ProtocolError, RankList,
    SessionSettings, StartupRequest,
};
use crate::refusal::Refusal;

/// Bytes that may be received beyond the message that is being read.
const READ_AHEAD_BYTES: usize = 8 * 1024;

/// What the codec does with received bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waits for a startup packet.
    Startup,
    /// Waits for the daemon to accept the caller.
    Accepting,
    /// Reads requests.
    Open,
    /// Waits for the answer to a request.
    InFlight,
    /// Skips messages up to `Sync` after a refusal.
    Skipping,
    /// Reads nothing more.
    Closed,
}

/// The codec of one caller's connection.
///
/// The daemon passes received bytes to [`receive`](Self::receive) and calls
/// [`next_message`](Self::next_message) until it returns `None`, also after each delivered answer.
#[derive(Debug)]
pub struct CallerCodec {
    pub(super) buffer: BytesMut,
    /// Bytes of an unwanted message that have not been received yet.
    pub(super) discard_bytes: usize,
    pub(super) phase: Phase,
    pub(super) limits: CallerLimits,
    pub(super) batch: Batch,
    pub(super) session: Session,
}

impl Default for CallerCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl CallerCodec {
    /// Creates the codec of a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self {
            buffer: BytesMut::new(),
            discard_bytes: 0,
            phase: Phase::Startup,
            limits: CallerLimits::new(MAX_STARTUP_BYTES),
            batch: Batch::default(),
            session: Session::new(),
        }
    }

    /// Number of bytes that the codec takes at present. The daemon stops reading from the socket
    /// while it is 0.
    #[must_use]
    pub fn room(&self) -> usize {
        let limit = self.limits.max_request_bytes.max(MAX_STARTUP_BYTES) + READ_AHEAD_BYTES;
        limit.saturating_sub(self.buffer.len())
    }

    /// Number of bytes that the codec holds of messages that have not been handed out.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.batch.bytes()
    }

    /// Takes received bytes, at most as many as there is [`room`](Self::room) for. Returns how many
    /// were taken.
    pub fn receive(&mut self, bytes: &[u8]) -> usize {
        let discarded =
            bytes.len().min(if self.buffer.is_empty() { self.discard_bytes } else { 0 });
        self.discard_bytes -= discarded;
        let rest = &bytes[discarded..];
        let taken = rest.len().min(self.room());
        self.buffer.extend_from_slice(&rest[..taken]);
        discarded + taken
    }

    /// Settings in force.
    #[must_use]
    pub fn settings(&self) -> &SessionSettings {
        &self.session.settings
    }

    /// Transaction status that the caller has been told last.
    #[must_use]
    pub fn status(&self) -> TransactionStatus {
        self.session.status
    }

    /// Whether a request waits for its answer.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.phase == Phase::InFlight
    }

    /// Sets the ranks and limits after a change of the configuration.
    pub fn set_rules(&mut self, ranks: Arc<RankList>, limits: CallerLimits) {
        self.session.ranks = ranks;
        self.limits = limits;
    }

    /// Accepts a caller after its startup message. Returns the greeting, or a refusal if the options
    /// of the startup are invalid; the caller is then told by [`Refusal::encode_fatal`].
    pub fn accept(
        &mut self,
        startup: &StartupRequest,
        greeting: &Greeting,
    ) -> Result<Bytes, Refusal> {
        self.set_rules(Arc::clone(&greeting.ranks), greeting.limits);
        let mut settings = SessionSettings::default();
        let initial = SessionSettings::default();
        settings.apply(&SessionSettings::application_name(&startup.application_name), &initial);
        for statement in parse_options(&startup.options, &greeting.ranks)? {
            settings.apply(&statement, &initial);
        }
        self.session.initial = settings.clone();
        self.session.settings = settings;
        self.phase = Phase::Open;
        Ok(greeting.encode(&self.session.settings.application_name))
    }

    /// Takes the next message, or returns `None` until more bytes or an answer arrive.
    pub fn next_message(&mut self) -> Option<CallerMessage> {
        loop {
            let discarded = self.discard_bytes.min(self.buffer.len());
            self.buffer.advance(discarded);
            self.discard_bytes -= discarded;
            if self.discard_bytes > 0 {
                return None;
            }
            let is_skipping = match self.phase {
                Phase::Startup => return self.next_startup(),
                Phase::Accepting | Phase::InFlight | Phase::Closed => return None,
                Phase::Open => false,
                Phase::Skipping => true,
            };
            let is_wanted = |tag| !is_skipping || matches!(tag, b'S' | b'X');
            let message =
                match take_frame(&mut self.buffer, self.limits.max_request_bytes, is_wanted) {
                    Frame::Incomplete => return None,
                    Frame::Broken(error) => Some(self.violate(error)),
                    Frame::Unwanted(tag, size) => self.see_unwanted(tag, size),
                    Frame::Whole(tag, frame) => self.see(tag, frame),
                };
            if message.is_some() {
                return message;
            }
        }
    }

    fn next_startup(&mut self) -> Option<CallerMessage> {
        match take_startup(&mut self.buffer) {
            Ok(message) => {
                match message {
                    Some(CallerMessage::Startup(_)) => self.phase = Phase::Accepting,
                    Some(CallerMessage::Cancel { .. }) => self.phase = Phase::Closed,
                    _ => {}
                }
                message
            }
            Err(error) => Some(self.violate(error)),
        }
    }

    fn violate(&mut self, error: ProtocolError) -> CallerMessage {
        self.phase = Phase::Closed;
        self.batch.clear();
        let answer = error.refusal().encode_fatal();
        CallerMessage::Violation { error, answer, goes_on: false }
    }

    /// Passes on the answer to the request in flight, without what the caller did not ask for.
    ///
    /// After an error the caller's connection must be closed; whole messages of the answer may have
    /// been passed on.
    pub fn deliver(
        &mut self,
        answer: Bytes,
        status: TransactionStatus,
        out: &mut impl Extend<Bytes>,
    ) -> Result<(), AnswerMismatch> {
        self.session.status = status;
        let delivered = self.batch.plan.deliver(answer, &mut self.session, out);
        let skips = delivered? && self.batch.plan.leaves_out_ready;
        self.batch.clear();
        self.phase = if skips { Phase::Skipping } else { Phase::Open };
        Ok(())
    }

    /// Answers the request in flight with an error. The transaction status is that of the caller's
    /// session from now on.
    pub fn refuse(&mut self, refusal: &Refusal, status: TransactionStatus) -> Bytes {
        self.session.status = status;
        let leaves_out_ready = self.batch.plan.leaves_out_ready;
        self.drop_batch();
        self.phase = if leaves_out_ready { Phase::Skipping } else { Phase::Open };
        if leaves_out_ready {
            let mut buffer = BytesMut::new();
            refusal.append_error(&mut buffer);
            return buffer.freeze();
        }
        refusal.encode_error(status)
    }
}
