//! Prepared statements of a batch.

use bytes::{BufMut, Bytes, BytesMut};
use flamingorock_core::{ResultCode, StatementKind};

use super::LocalStatement;
use super::batch::{Batch, BatchContext, Rejection, field};
use super::kept_statements::{KeptStatement, ParseMessage, StatementTarget, size_of};
use super::plan::{LocalStep, StatementChange, Step};
use crate::classify::{Classification, classify};
use crate::refusal::Refusal;
use crate::wire::{HEADER_BYTES, Reader};

impl Batch {
    pub(super) fn parse(
        &mut self,
        frame: BytesMut,
        context: BatchContext<'_>,
    ) -> Result<(), Rejection> {
        let mut reader = Reader::new(&frame[HEADER_BYTES..]);
        let name = field(reader.string(), b'P')?;
        self.replaces_unnamed |= name.is_empty();
        let query = field(reader.string(), b'P')?;
        let type_count = field(reader.u16(), b'P')?;
        field((usize::from(type_count) * 4 == reader.rest().len()).then_some(()), b'P')?;
        if !name.is_empty() && self.find(name, context).is_some() {
            return Err(already_exists(name));
        }
        let kind = match classify(query, context.ranks) {
            Classification::Routed(kind) => kind,
            Classification::Local(local) => return self.parse_local(name, local, context),
            Classification::LocalSeveral(_) => return Err(several_statements()),
            Classification::Refused(refusal) => return Err(Rejection::Refused(refusal)),
        };
        let name_bytes = name.len();
        self.parse_at_backend(kind, name_bytes, frame, context)
    }

    fn parse_at_backend(
        &mut self,
        kind: StatementKind,
        name_bytes: usize,
        frame: BytesMut,
        context: BatchContext<'_>,
    ) -> Result<(), Rejection> {
        let name = &frame[HEADER_BYTES..HEADER_BYTES + name_bytes];
        let start = self.payload.len();
        let parse = if name.is_empty() {
            ParseMessage::InPayload(start..start + frame.len())
        } else {
            let mut message = BytesMut::with_capacity(frame.len() - name.len());
            append_without_name(&mut message, b'P', &[], &frame[HEADER_BYTES + name.len()..]);
            ParseMessage::Owned(message.freeze())
        };
        let statement = KeptStatement { parse, target: StatementTarget::Backend(kind) };
        let change = self.keep(name, &statement, context)?;
        self.current = Some(name.to_vec());
        match &statement.parse {
            ParseMessage::Owned(bytes) => self.payload.extend_from_slice(bytes),
            ParseMessage::InPayload(_) => self.payload.unsplit(frame),
        }
        self.plan.steps.push(Step::Parse(change));
        Ok(())
    }

    fn parse_local(
        &mut self,
        name: &[u8],
        local: LocalStatement,
        context: BatchContext<'_>,
    ) -> Result<(), Rejection> {
        let statement = KeptStatement {
            parse: ParseMessage::Owned(Bytes::new()),
            target: StatementTarget::Local(local),
        };
        let change = self.keep(name, &statement, context)?;
        self.add_local(LocalStep::ParseComplete(change));
        Ok(())
    }

    /// Notes a statement that is kept once its `ParseComplete` arrives. Returns its place in the
    /// plan.
    fn keep(
        &mut self,
        name: &[u8],
        statement: &KeptStatement,
        context: BatchContext<'_>,
    ) -> Result<usize, Rejection> {
        if !name.is_empty() {
            self.kept_count_change += 1;
            self.kept_bytes_change += signed_size(name, statement);
            self.check_limits(context)?;
        }
        Ok(self.add_change(StatementChange::Keep(name.into(), statement.clone())))
    }

    /// Refuses one statement more than a session may keep, if the batch succeeds.
    fn check_limits(&self, context: BatchContext<'_>) -> Result<(), Rejection> {
        let limits = context.limits;
        let count = context.kept.named_count().saturating_add_signed(self.kept_count_change);
        let bytes = context.kept.named_bytes().saturating_add_signed(self.kept_bytes_change);
        if count <= limits.max_statements && bytes <= limits.max_statement_bytes {
            return Ok(());
        }
        let detail = format!(
            "a session keeps at most {} prepared statements of {} bytes together",
            limits.max_statements, limits.max_statement_bytes
        );
        Err(Rejection::Refused(Refusal {
            hint: Some("Close prepared statements that are no longer used."),
            ..Refusal::new(ResultCode::RequestTooLarge, detail)
        }))
    }

    /// Inserts the `Parse` of a statement unless it is what the payload has parsed last.
    pub(super) fn ensure_parsed(&mut self, name: &[u8], context: BatchContext<'_>) {
        if self.current.as_deref() == Some(name) {
            return;
        }
        match self.find(name, context).map(|statement| statement.parse.clone()) {
            Some(ParseMessage::Owned(bytes)) => self.payload.extend_from_slice(&bytes),
            Some(ParseMessage::InPayload(range)) => {
                let bytes = self.payload[range].to_vec();
                self.payload.extend_from_slice(&bytes);
            }
            None => return,
        }
        self.plan.steps.push(Step::InsertedParse);
        self.current = Some(name.to_vec());
    }
}

/// Appends a message without the statement name between two parts of its body. The second part
/// starts with the zero byte that ended the name.
pub(super) fn append_without_name(buffer: &mut BytesMut, tag: u8, before: &[u8], after: &[u8]) {
    let length = 4 + before.len() + after.len();
    buffer.reserve(1 + length);
    buffer.put_u8(tag);
    buffer.put_u32(u32::try_from(length).expect("messages are smaller than the limit"));
    buffer.put_slice(before);
    buffer.put_slice(after);
}

/// Size that a named statement counts for.
pub(super) fn signed_size(name: &[u8], statement: &KeptStatement) -> isize {
    isize::try_from(size_of(name, statement)).expect("messages are smaller than the limit")
}

fn several_statements() -> Rejection {
    Rejection::Refused(Refusal {
        hint: Some("Prepare each statement by itself."),
        sqlstate: Some("42601"),
        ..Refusal::new(ResultCode::Unsupported, "several statements in one prepared statement")
    })
}

fn already_exists(name: &[u8]) -> Rejection {
    let detail = format!("prepared statement \"{}\" already exists", String::from_utf8_lossy(name));
    Rejection::Refused(Refusal {
        hint: Some("Close the statement before the name is used again."),
        sqlstate: Some("42P05"),
        ..Refusal::new(ResultCode::ProtocolViolation, detail)
    })
}

pub(super) fn does_not_exist(name: &[u8]) -> Rejection {
    let detail = format!("prepared statement \"{}\" does not exist", String::from_utf8_lossy(name));
    Rejection::Refused(Refusal {
        hint: Some("Prepare the statement again."),
        sqlstate: Some("26000"),
        ..Refusal::new(ResultCode::ProtocolViolation, detail)
    })
}
