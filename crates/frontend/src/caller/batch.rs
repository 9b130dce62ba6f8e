//! A batch of extended messages on its way to become a request.

use std::collections::HashMap;

use bytes::{Bytes, BytesMut};
use flamingorock_core::StatementKind;

use super::kept_statements::{KeptStatement, KeptStatements};
use super::limits::CallerLimits;
use super::plan::{AnswerPlan, LocalStep, StatementChange, Step};
use super::portals::Portals;
use super::{ProtocolError, RankList};
use crate::refusal::Refusal;

/// Greatest number of messages of a batch. The plan takes about 100 bytes for a message of 7, so that
/// the limit on the size of requests alone would not bound its memory.
const MAX_BATCH_MESSAGES: usize = 65_536;

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
    /// The last change of the unnamed statement in the plan.
    unnamed_change: Option<usize>,
    /// The last change of each named statement in the plan.
    named_changes: HashMap<Box<[u8]>, usize>,
    /// Size of the messages received for the batch.
    pub(super) received_bytes: usize,
    /// How the number of kept named statements changes if the batch succeeds.
    pub(super) kept_count_change: isize,
    /// How their size changes.
    pub(super) kept_bytes_change: isize,
    /// Whether the unnamed statement is replaced. If the batch is refused, the caller can no longer
    /// tell which statement that is, so there is none afterwards.
    pub(super) replaces_unnamed: bool,
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
        self.unnamed_change = None;
        self.named_changes = HashMap::new();
        self.received_bytes = 0;
        self.kept_count_change = 0;
        self.kept_bytes_change = 0;
        self.replaces_unnamed = false;
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

    /// Refuses a batch that has grown too large.
    pub(super) fn check_size(&self, limit_bytes: usize) -> Result<(), Rejection> {
        if self.received_bytes.max(self.payload.len()) > limit_bytes {
            return Err(Rejection::Violation(ProtocolError::RequestTooLarge(limit_bytes)));
        }
        if self.plan.steps.len() > MAX_BATCH_MESSAGES {
            return Err(Rejection::Violation(ProtocolError::TooManyMessages(MAX_BATCH_MESSAGES)));
        }
        Ok(())
    }

    /// Adds a change of a prepared statement and returns its place in the plan.
    pub(super) fn add_change(&mut self, change: StatementChange) -> usize {
        let index = self.plan.changes.len();
        let name = change.name();
        if name.is_empty() {
            self.unnamed_change = Some(index);
        } else {
            self.named_changes.insert(name.into(), index);
        }
        self.plan.changes.push(change);
        index
    }

    /// Finds a statement by name, as the messages of the batch so far leave it.
    pub(super) fn find<'a>(
        &'a self,
        name: &[u8],
        context: BatchContext<'a>,
    ) -> Option<&'a KeptStatement> {
        let change = if name.is_empty() {
            self.unnamed_change
        } else {
            self.named_changes.get(name).copied()
        };
        match change.map(|index| &self.plan.changes[index]) {
            Some(StatementChange::Keep(_, statement)) => Some(statement),
            Some(StatementChange::Drop(_)) => None,
            None => context.kept.get(name),
        }
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
