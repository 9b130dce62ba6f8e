//! A batch of extended messages on its way to become a request.

use bytes::{Bytes, BytesMut};
use flamingorock_core::StatementKind;

use super::kept_statements::KeptStatements;
use super::limits::CallerLimits;
use super::plan::{AnswerPlan, LocalStep, StatementChange, Step};
use super::portals::Portals;
use super::{ProtocolError, RankList};
use crate::refusal::Refusal;

/// Why a batch cannot become a request.
#[derive(Debug)]
pub(crate) enum Rejection {
    Refused(Refusal),
    Violation(ProtocolError),
}

/// A field of a message, or the violation if the body was too short for it.
pub(super) fn field<T>(value: Option<T>, tag: u8) -> Result<T, Rejection> {
    value.ok_or(Rejection::Violation(ProtocolError::MalformedMessage(tag)))
}

/// What is needed to add a message to a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchContext<'a> {
    pub(crate) kept: &'a KeptStatements,
    pub(crate) ranks: &'a RankList,
    pub(crate) limits: &'a CallerLimits,
}

/// A batch of extended messages on its way to become a request.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub(super) payload: BytesMut,
    pub(super) plan: AnswerPlan,
    /// What the bound statements may do together; `None` before the first.
    pub(super) kind: Option<StatementKind>,
    /// Name of the caller's statement that the payload has parsed last.
    pub(super) current: Option<Vec<u8>>,
    pub(super) portals: Portals,
    /// Size of the messages received for the batch.
    pub(super) received_bytes: usize,
    /// How the number of kept named statements changes if the batch succeeds.
    pub(super) kept_count_change: isize,
    /// How their size changes.
    pub(super) kept_bytes_change: isize,
    /// Whether a message runs something, so that the batch cannot be ended before its `Sync`.
    pub(super) has_bind_or_execute: bool,
}

impl Batch {
    pub(crate) fn is_empty(&self) -> bool {
        self.received_bytes == 0
    }

    pub(crate) fn clear(&mut self) {
        self.payload = BytesMut::new();
        self.plan.clear();
        self.kind = None;
        self.current = None;
        self.portals.clear();
        self.received_bytes = 0;
        self.kept_count_change = 0;
        self.kept_bytes_change = 0;
        self.has_bind_or_execute = false;
    }

    /// Bytes that the batch holds.
    pub(crate) fn bytes(&self) -> usize {
        self.payload.len()
    }

    /// Adds what a bound or executed statement may do.
    pub(super) fn add_kind(&mut self, kind: StatementKind) {
        use StatementKind::{Other, Read, Write};
        self.kind = Some(match (self.kind, kind) {
            (None, kind) => kind,
            (Some(Read), Read) => Read,
            // The batch is one implicit transaction, and it has the effects of a plain write.
            (Some(Read | Write), Read | Write) => Write,
            _ => Other,
        });
    }

    pub(super) fn add_local(&mut self, step: LocalStep) {
        self.plan.steps.push(Step::Local(step));
    }

    /// Ends the batch with `Sync`. Returns the payload, or `None` if the proxy answers all of it.
    pub(crate) fn finish(&mut self, sync: BytesMut) -> Option<(StatementKind, Bytes)> {
        if self.payload.is_empty() {
            return None;
        }
        self.payload.unsplit(sync);
        let payload = core::mem::take(&mut self.payload).freeze();
        for change in &mut self.plan.changes {
            if let StatementChange::Keep(_, statement) = change {
                statement.resolve(&payload);
            }
        }
        // Parsing and describing a statement runs nothing.
        Some((self.kind.unwrap_or(StatementKind::Read), payload))
    }
}
