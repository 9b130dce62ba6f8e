//! The answer that is expected to a request, and the changes to it.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};

use super::kept_statements::KeptStatement;
use super::local_answer::{append_result, row_description};
use super::session::Session;
use super::{LocalStatement, Setting};
use crate::wire::{self, Header};

/// Size of a `ReadyForQuery` message.
const READY_BYTES: usize = 6;

/// the answer has a message of type 0x{found:02x} where it does not belong
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct AnswerMismatch {
    /// Type of the message; 0 if the answer ends too early.
    pub found: u8,
}

impl core::error::Error for AnswerMismatch {}

/// A change of the kept statements that takes effect when the answer shows success.
#[derive(Clone, Debug)]
pub(crate) enum StatementChange {
    Keep(Box<[u8]>, KeptStatement),
    Drop(Box<[u8]>),
}

impl StatementChange {
    pub(crate) fn name(&self) -> &[u8] {
        match self {
            Self::Keep(name, _) | Self::Drop(name) => name,
        }
    }
}

/// A part of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// `ParseComplete` of a statement of the caller; the change is carried out.
    Parse(usize),
    /// `ParseComplete` of a `Parse` that the proxy inserted; it is removed.
    InsertedParse,
    /// `BindComplete`
    Bind,
    /// `CloseComplete`
    Close,
    /// `ParameterDescription`, then a description of the rows.
    DescribeStatement,
    /// Description of the rows.
    DescribePortal,
    /// Rows and their end.
    Execute,
    /// The proxy's own part.
    Local(LocalStep),
}

/// A part of an answer that the proxy adds.
#[derive(Clone, Debug)]
pub(crate) enum LocalStep {
    ParseComplete(usize),
    BindComplete,
    CloseComplete(Option<usize>),
    NoParameters,
    Describe(Option<Setting>),
    Execute(LocalStatement),
}

/// What a message of the answer means for the present step.
enum Progress {
    Within,
    Ends,
    Mismatch,
}

impl Step {
    /// Whether the step removes, adds or notes something, so that the answer must be walked.
    fn is_edit(&self) -> bool {
        matches!(self, Self::Parse(_) | Self::InsertedParse | Self::Local(_))
    }

    fn progress(&self, tag: u8) -> Progress {
        match (self, tag) {
            (Self::Parse(_) | Self::InsertedParse, b'1')
            | (Self::Bind, b'2')
            | (Self::Close, b'3')
            | (Self::DescribeStatement | Self::DescribePortal, b'T' | b'n')
            | (Self::Execute, b'C' | b'I' | b's') => Progress::Ends,
            (Self::DescribeStatement, b't') | (Self::Execute, b'D') => Progress::Within,
            _ => Progress::Mismatch,
        }
    }
}

/// The parts of the answer to the request in flight, in order.
#[derive(Debug, Default)]
pub(crate) struct AnswerPlan {
    pub(crate) steps: Vec<Step>,
    pub(crate) changes: Vec<StatementChange>,
    /// Whether the caller did not ask for the end of the answer yet.
    pub(crate) leaves_out_ready: bool,
}

impl AnswerPlan {
    pub(crate) fn clear(&mut self) {
        clear(&mut self.steps);
        clear(&mut self.changes);
        self.leaves_out_ready = false;
    }

    /// Passes an answer on with the plan's changes. Returns whether the walked part held an error.
    ///
    /// Only the part up to the last change is walked; the rest is passed on as it is.
    pub(crate) fn deliver(
        &self,
        answer: Bytes,
        session: &mut Session,
        out: &mut impl Extend<Bytes>,
    ) -> Result<bool, AnswerMismatch> {
        let mut walk = Walk { rest: answer, passed: 0 };
        let edits = self.steps.iter().rposition(Step::is_edit).map_or(0, |last| last + 1);
        let walked = if self.leaves_out_ready { &self.steps[..] } else { &self.steps[..edits] };
        let mut failed = false;
        for step in walked {
            if let Step::Local(step) = step {
                walk.pass(out);
                out.extend(Some(self.run_local(step, session)));
            } else if !walk.step(step, out)? {
                self.note_failure(step, session);
                failed = true;
                break;
            } else if let Step::Parse(change) = step {
                session.apply_change(&self.changes[*change]);
            }
        }
        if self.leaves_out_ready {
            let end = walk.rest.len().saturating_sub(READY_BYTES);
            walk.rest.truncate(end);
        }
        walk.passed = walk.rest.len();
        walk.pass(out);
        Ok(failed)
    }

    /// A `Parse` of the unnamed statement that fails leaves no unnamed statement, as in PostgreSQL.
    fn note_failure(&self, step: &Step, session: &mut Session) {
        if let Step::Parse(change) = step
            && self.changes[*change].name().is_empty()
        {
            session.kept.remove(&[]);
        }
    }

    fn run_local(&self, step: &LocalStep, session: &mut Session) -> Bytes {
        let mut buffer = BytesMut::new();
        match step {
            LocalStep::ParseComplete(change) => {
                session.apply_change(&self.changes[*change]);
                wire::append(&ParseComplete::new(), &mut buffer);
            }
            LocalStep::BindComplete => wire::append(&BindComplete::new(), &mut buffer),
            LocalStep::CloseComplete(change) => {
                if let Some(change) = change {
                    session.apply_change(&self.changes[*change]);
                }
                wire::append(&CloseComplete::new(), &mut buffer);
            }
            LocalStep::NoParameters => {
                wire::append(&ParameterDescription::new(Vec::new()), &mut buffer);
            }
            LocalStep::Describe(Some(setting)) => {
                wire::append(&row_description(*setting), &mut buffer);
            }
            LocalStep::Describe(None) => wire::append(&NoData::new(), &mut buffer),
            LocalStep::Execute(statement) => {
                session.run(statement);
                append_result(statement, &session.settings, &session.ranks, &mut buffer);
            }
        }
        buffer.freeze()
    }
}

/// Clears a list, and frees it if a large batch has made it large.
fn clear<T>(list: &mut Vec<T>) {
    const KEPT_CAPACITY: usize = 256;
    list.clear();
    if list.capacity() > KEPT_CAPACITY {
        *list = Vec::new();
    }
}

/// Progress through an answer.
struct Walk {
    /// What has not been passed on or removed.
    rest: Bytes,
    /// Length of the start of `rest` that is to be passed on.
    passed: usize,
}

impl Walk {
    /// Passes on what has been walked.
    fn pass(&mut self, out: &mut impl Extend<Bytes>) {
        if self.passed > 0 {
            out.extend(Some(self.rest.split_to(self.passed)));
            self.passed = 0;
        }
    }

    /// Walks over the messages of a step. Returns `false` at an error, which ends the plan.
    fn step(&mut self, step: &Step, out: &mut impl Extend<Bytes>) -> Result<bool, AnswerMismatch> {
        loop {
            let header = Header::read(&self.rest[self.passed..]);
            let Some((header, size)) = header.and_then(|header| Some((header, header.size?)))
            else {
                return Err(AnswerMismatch { found: 0 });
            };
            if header.tag == b'E' {
                return Ok(false);
            }
            if self.passed + size > self.rest.len() {
                return Err(AnswerMismatch { found: 0 });
            }
            let progress = match header.tag {
                b'N' => Progress::Within,
                tag => step.progress(tag),
            };
            match progress {
                Progress::Within => self.passed += size,
                Progress::Ends if matches!(step, Step::InsertedParse) => {
                    self.pass(out);
                    self.rest.advance(size);
                    return Ok(true);
                }
                Progress::Ends => {
                    self.passed += size;
                    return Ok(true);
                }
                Progress::Mismatch => return Err(AnswerMismatch { found: header.tag }),
            }
        }
    }
}
