//! Handling of the extended messages of a batch.

use bytes::BytesMut;
use flamingorock_core::StatementKind;

use super::batch::{Batch, BatchContext, Rejection, field};
use super::kept_statements::StatementTarget;
use super::plan::{LocalStep, StatementChange, Step};
use super::portals::PortalTarget;
use super::prepared::{append_without_name, does_not_exist, signed_size};
use super::{LocalStatement, Setting};
use crate::wire::{HEADER_BYTES, Reader};

impl Batch {
    /// Adds an extended message other than `Sync` and `Flush`.
    pub(crate) fn add(
        &mut self,
        tag: u8,
        frame: BytesMut,
        context: BatchContext<'_>,
    ) -> Result<(), Rejection> {
        self.received_bytes += frame.len();
        self.has_bind_or_execute |= matches!(tag, b'B' | b'E');
        match tag {
            b'P' => self.parse(frame, context)?,
            b'B' => self.bind(frame, context)?,
            b'D' => self.describe(frame, context)?,
            b'E' => self.execute(frame)?,
            _ => self.close(frame, context)?,
        }
        self.check_size(context.limits.max_request_bytes)
    }

    fn bind(&mut self, frame: BytesMut, context: BatchContext<'_>) -> Result<(), Rejection> {
        let mut reader = Reader::new(&frame[HEADER_BYTES..]);
        let portal = field(reader.string(), b'B')?;
        let name = field(reader.string(), b'B')?;
        let target = match self.find(name, context) {
            Some(statement) => statement.target.clone(),
            None => return Err(does_not_exist(name)),
        };
        match target {
            StatementTarget::Local(local) => {
                self.portals.insert(portal, PortalTarget::Local(local));
                self.add_local(LocalStep::BindComplete);
            }
            StatementTarget::Backend(kind) => {
                self.ensure_parsed(name, context);
                self.add_kind(kind);
                self.portals.insert(portal, PortalTarget::Backend);
                if name.is_empty() {
                    self.payload.unsplit(frame);
                } else {
                    let portal_end = HEADER_BYTES + portal.len() + 1;
                    let portal = &frame[HEADER_BYTES..portal_end];
                    let rest = &frame[portal_end + name.len()..];
                    append_without_name(&mut self.payload, b'B', portal, rest);
                }
                self.plan.steps.push(Step::Bind);
            }
        }
        Ok(())
    }

    fn describe(&mut self, frame: BytesMut, context: BatchContext<'_>) -> Result<(), Rejection> {
        let (what, name) = target_of(&frame, b'D')?;
        if what == b'P' {
            if let Some(PortalTarget::Local(local)) = self.portals.get(name) {
                let described = described_setting(local);
                self.add_local(LocalStep::Describe(described));
            } else {
                self.payload.unsplit(frame);
                self.plan.steps.push(Step::DescribePortal);
            }
            return Ok(());
        }
        let target = match self.find(name, context) {
            Some(statement) => statement.target.clone(),
            None => return Err(does_not_exist(name)),
        };
        match target {
            StatementTarget::Local(local) => {
                self.add_local(LocalStep::NoParameters);
                self.add_local(LocalStep::Describe(described_setting(&local)));
            }
            StatementTarget::Backend(_) => {
                self.ensure_parsed(name, context);
                if name.is_empty() {
                    self.payload.unsplit(frame);
                } else {
                    append_without_name(&mut self.payload, b'D', b"S", b"\0");
                }
                self.plan.steps.push(Step::DescribeStatement);
            }
        }
        Ok(())
    }

    fn execute(&mut self, frame: BytesMut) -> Result<(), Rejection> {
        let mut reader = Reader::new(&frame[HEADER_BYTES..]);
        let portal = field(reader.string(), b'E')?;
        field(reader.i32().filter(|_| reader.rest().is_empty()), b'E')?;
        match self.portals.get(portal) {
            Some(PortalTarget::Local(local)) => {
                let step = LocalStep::Execute(local.clone());
                self.add_local(step);
                return Ok(());
            }
            Some(PortalTarget::Backend) => {}
            None => self.add_kind(StatementKind::Other),
        }
        self.payload.unsplit(frame);
        self.plan.steps.push(Step::Execute);
        Ok(())
    }

    fn close(&mut self, frame: BytesMut, context: BatchContext<'_>) -> Result<(), Rejection> {
        let (what, name) = target_of(&frame, b'C')?;
        if what == b'S' {
            let dropped = self.find(name, context).filter(|_| !name.is_empty());
            if let Some(size) = dropped.map(|statement| signed_size(name, statement)) {
                self.kept_count_change -= 1;
                self.kept_bytes_change -= size;
            }
            let change = self.add_change(StatementChange::Drop(name.into()));
            self.add_local(LocalStep::CloseComplete(Some(change)));
        } else if let Some(PortalTarget::Local(_)) = self.portals.get(name) {
            self.portals.remove(name);
            self.add_local(LocalStep::CloseComplete(None));
        } else {
            self.portals.remove(name);
            self.payload.unsplit(frame);
            self.plan.steps.push(Step::Close);
        }
        Ok(())
    }
}

/// Kind and name of what a `Describe` or `Close` message is about.
fn target_of(frame: &[u8], tag: u8) -> Result<(u8, &[u8]), Rejection> {
    let mut reader = Reader::new(&frame[HEADER_BYTES..]);
    let what = field(reader.u8().filter(|what| matches!(what, b'S' | b'P')), tag)?;
    let name = field(reader.string(), tag)?;
    field(reader.rest().is_empty().then_some((what, name)), tag)
}

/// Setting that a statement of the proxy returns as its row.
fn described_setting(local: &LocalStatement) -> Option<Setting> {
    match local {
        LocalStatement::Show(setting) => Some(*setting),
        _ => None,
    }
}
