//! Turning the messages of an open session into requests and answers.

use bytes::{Bytes, BytesMut};
use flamingorock_core::{ResultCode, StatementKind};

use super::batch::{BatchContext, Rejection};
use super::caller_codec::{CallerCodec, Phase};
use super::local_answer::{append_result, row_description};
use super::session::Session;
use super::{CallerMessage, LocalStatement, ProtocolError, Request};
use crate::classify::{Classification, classify};
use crate::refusal::Refusal;
use crate::wire::{self, HEADER_BYTES, Reader};

/// Size of a request from which the memory of the buffer is given up with it.
const KEPT_BUFFER_BYTES: usize = 16 * 1024;

impl CallerCodec {
    pub(super) fn see_unwanted(&mut self, tag: u8, size: usize) -> Option<CallerMessage> {
        self.discard_bytes = size;
        let limit_bytes = self.limits.max_request_bytes;
        if self.phase == Phase::Skipping || matches!(tag, b'c' | b'd' | b'f') {
            return None;
        }
        let error = ProtocolError::MessageTooLarge { size_bytes: size, limit_bytes };
        Some(self.reject(tag, Rejection::Violation(error)))
    }

    pub(super) fn see(&mut self, tag: u8, frame: BytesMut) -> Option<CallerMessage> {
        match tag {
            b'X' => {
                self.phase = Phase::Closed;
                Some(CallerMessage::Terminate)
            }
            b'Q' => Some(self.query(frame)),
            b'S' => Some(self.sync(frame)),
            b'H' => self.flush(),
            b'F' => Some(self.reject(tag, Rejection::Refused(function_call()))),
            // Parts of a COPY that failed may still arrive and are ignored, as in PostgreSQL.
            b'c' | b'd' | b'f' => None,
            _ => {
                let context = BatchContext {
                    kept: &self.session.kept,
                    ranks: &self.session.ranks,
                    limits: &self.limits,
                };
                let rejection = self.batch.add(tag, frame, context).err()?;
                Some(self.reject(tag, rejection))
            }
        }
    }

    fn query(&mut self, frame: BytesMut) -> CallerMessage {
        if !self.batch.is_empty() {
            let error = ProtocolError::QueryWithoutSync;
            return self.reject(b'Q', Rejection::Violation(error));
        }
        let mut reader = Reader::new(&frame[HEADER_BYTES..]);
        let Some(sql) = reader.string().filter(|_| reader.rest().is_empty()) else {
            let error = ProtocolError::MalformedMessage(b'Q');
            return self.reject(b'Q', Rejection::Violation(error));
        };
        // A simple query ends the unnamed statement.
        self.session.kept.remove(&[]);
        match classify(sql, &self.session.ranks) {
            Classification::Routed(kind) => self.request(kind, frame.freeze()),
            Classification::Local(statement) => self.answer_locally(&[statement]),
            Classification::LocalSeveral(statements) => self.answer_locally(&statements),
            Classification::Refused(refusal) => self.reject(b'Q', Rejection::Refused(refusal)),
        }
    }

    fn answer_locally(&mut self, statements: &[LocalStatement]) -> CallerMessage {
        let mut buffer = BytesMut::new();
        for statement in statements {
            self.session.run(statement);
            if let LocalStatement::Show(setting) = statement {
                wire::append(&row_description(*setting), &mut buffer);
            }
            let Session { settings, ranks, .. } = &self.session;
            append_result(statement, settings, ranks, &mut buffer);
        }
        wire::append(&wire::ready_for_query(self.session.status), &mut buffer);
        CallerMessage::LocalAnswer { answer: buffer.freeze() }
    }

    fn request(&mut self, kind: StatementKind, payload: Bytes) -> CallerMessage {
        self.phase = Phase::InFlight;
        if payload.len() > KEPT_BUFFER_BYTES {
            wire::release_if_empty(&mut self.buffer);
        }
        let settings = &self.session.settings;
        CallerMessage::Request(Request {
            kind,
            payload,
            rank: settings.rank.clone(),
            max_staleness_ms: settings.max_staleness_ms,
            deadline_ms: settings.deadline_ms,
        })
    }

    fn sync(&mut self, frame: BytesMut) -> CallerMessage {
        if self.phase == Phase::Skipping {
            self.phase = Phase::Open;
        }
        if let Some((kind, payload)) = self.batch.finish(frame) {
            return self.request(kind, payload);
        }
        let mut answer = self.run_local_batch();
        wire::append(&wire::ready_for_query(self.session.status), &mut answer);
        CallerMessage::LocalAnswer { answer: answer.freeze() }
    }

    /// Runs a batch that only has statements of the proxy.
    fn run_local_batch(&mut self) -> BytesMut {
        let mut parts: Vec<Bytes> = Vec::new();
        let delivered = self.batch.plan.deliver(Bytes::new(), &mut self.session, &mut parts);
        debug_assert_eq!(delivered, Ok(false), "the proxy's own steps need no answer");
        self.batch.clear();
        let mut answer = BytesMut::new();
        parts.iter().for_each(|part| answer.extend_from_slice(part));
        answer
    }

    fn flush(&mut self) -> Option<CallerMessage> {
        if self.batch.is_empty() {
            return None;
        }
        if self.batch.has_bind_or_execute {
            let refusal = Refusal::unsupported(
                "Flush after Bind or Execute",
                "Send Sync instead of Flush, or use the driver without pipelining.",
            );
            return Some(self.reject(b'H', Rejection::Refused(refusal)));
        }
        let sync = BytesMut::from(&b"S\0\0\0\x04"[..]);
        if let Some((kind, payload)) = self.batch.finish(sync) {
            self.batch.plan.leaves_out_ready = true;
            return Some(self.request(kind, payload));
        }
        let answer = self.run_local_batch().freeze();
        Some(CallerMessage::LocalAnswer { answer })
    }

    /// Forgets a batch that is not run.
    pub(super) fn drop_batch(&mut self) {
        if self.batch.replaces_unnamed {
            self.session.kept.remove(&[]);
        }
        self.batch.clear();
    }

    /// Drops the request that is being read and encodes the error.
    fn reject(&mut self, tag: u8, rejection: Rejection) -> CallerMessage {
        let (refusal, violation) = match rejection {
            Rejection::Refused(refusal) => (refusal, None),
            Rejection::Violation(error) => (error.refusal(), Some(error)),
        };
        self.drop_batch();
        let mut buffer = BytesMut::new();
        refusal.append_error(&mut buffer);
        if matches!(tag, b'Q' | b'F') {
            wire::append(&wire::ready_for_query(self.session.status), &mut buffer);
        } else {
            // `ReadyForQuery` answers the `Sync` that ends the skipped messages.
            self.phase = Phase::Skipping;
        }
        let answer = buffer.freeze();
        match violation {
            Some(error) => CallerMessage::Violation { error, answer, goes_on: true },
            None => CallerMessage::Refused { code: refusal.code, answer },
        }
    }
}

fn function_call() -> Refusal {
    Refusal {
        hint: Some("Use SELECT with the function."),
        ..Refusal::new(ResultCode::Unsupported, "function call messages")
    }
}
