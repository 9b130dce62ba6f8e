//! Refusals: results that the proxy gives instead of a backend server.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use flamingorock_core::{ResultClass, ResultCode, TransactionStatus};
use pgwire::messages::response::ErrorResponse;

use crate::wire;

/// A result that the proxy gives instead of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Numbered code.
    pub code: ResultCode,
    /// What in particular was refused.
    pub detail: Cow<'static, str>,
    /// What to do instead; the hint of the code if it is `None`.
    pub hint: Option<&'static str>,
    /// SQLSTATE that drivers react to, if it differs from that of the code.
    pub sqlstate: Option<&'static str>,
}

impl Refusal {
    /// Creates a refusal with the hint and the SQLSTATE of its code.
    pub fn new(code: ResultCode, detail: impl Into<Cow<'static, str>>) -> Self {
        Self { code, detail: detail.into(), hint: None, sqlstate: None }
    }

    /// Creates a refusal of a feature that the proxy does not support.
    #[must_use]
    pub fn unsupported(feature: &'static str, instead: &'static str) -> Self {
        Self { hint: Some(instead), ..Self::new(ResultCode::Unsupported, feature) }
    }

    /// Encodes an error after which the connection goes on; `ReadyForQuery` has to follow.
    pub(crate) fn append_error(&self, buffer: &mut BytesMut) {
        wire::append(&self.response("ERROR"), buffer);
    }

    /// Encodes an error and the end of the answer.
    pub(crate) fn encode_error(&self, status: TransactionStatus) -> Bytes {
        let mut buffer = BytesMut::new();
        self.append_error(&mut buffer);
        wire::append(&wire::ready_for_query(status), &mut buffer);
        buffer.freeze()
    }

    /// Encodes an error after which the connection is closed.
    #[must_use]
    pub fn encode_fatal(&self) -> Bytes {
        wire::encode(&self.response("FATAL"))
    }

    fn response(&self, severity: &str) -> ErrorResponse {
        let number = self.code.number();
        let message = if self.detail.is_empty() {
            format!("FR{number} {}", self.code)
        } else {
            format!("FR{number} {}: {}", self.code, self.detail.replace('\0', " "))
        };
        ErrorResponse::new(vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.sqlstate.unwrap_or(self.code.sqlstate()).to_owned()),
            (b'M', message),
            (b'D', detail_of(self.code.class()).to_owned()),
            (b'H', self.hint.unwrap_or(hint_of(self.code)).to_owned()),
        ])
    }
}

fn detail_of(class: ResultClass) -> &'static str {
    match class {
        ResultClass::Done => "done",
        ResultClass::NotRun => "not run: the request had no effect and can be sent again",
        ResultClass::RolledBack => "rolled back: the request or its transaction had no effect",
        ResultClass::OutcomeUnknown => {
            "outcome unknown: the request may or may not have taken effect"
        }
    }
}

fn hint_of(code: ResultCode) -> &'static str {
    match code {
        ResultCode::NoOwner
        | ResultCode::WrongOwner
        | ResultCode::NoPrimary
        | ResultCode::NoConfirmingReplica
        | ResultCode::BackendUnavailable
        | ResultCode::OwnerUnreachable
        | ResultCode::NoConfiguration => "Send the request again after a short wait.",
        ResultCode::QueueDeadline | ResultCode::Overloaded | ResultCode::QueueFull => {
            "Send the request again later, with a longer deadline or with a more urgent rank."
        }
        ResultCode::ShuttingDown | ResultCode::TooManyCallers => "Connect again.",
        ResultCode::UnknownDatabase => "Check the database name in the connection settings.",
        ResultCode::UnknownRank => "Use one of the ranks of the service.",
        ResultCode::RequestTooLarge => "Split the request into smaller ones.",
        ResultCode::Unsupported => "Use a feature that works without session state.",
        ResultCode::InvalidSetting => "Use a value that the setting allows.",
        ResultCode::ProtocolViolation => "Check the driver; it must speak protocol version 3.0.",
        ResultCode::CancelledNotRun => "The request was cancelled on the caller's demand.",
        ResultCode::TransactionLost | ResultCode::IdleTransactionTimeout => {
            "Run the whole transaction again."
        }
        ResultCode::StatementTimeout => "Use a longer deadline.",
        ResultCode::AnswerTooLarge => "Ask for fewer rows at a time.",
        ResultCode::BackendLost
        | ResultCode::Unconfirmed
        | ResultCode::OwnerLost
        | ResultCode::AbandonedRunning
        | ResultCode::LargeAnswerLost => "Read the data back before the request is sent again.",
    }
}
