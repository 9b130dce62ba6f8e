//! Responses of instances.

use bytes::Bytes;
use flamingorock_core::{Position, TransactionStatus};

use crate::{ErrorCode, InstanceStatus};

/// The complete response to one command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Returned rows, passed on unchanged.
    pub rows: Vec<Bytes>,
    /// Whether the command succeeded.
    pub outcome: ResponseOutcome,
    /// Transaction status of the connection after the command.
    pub status: TransactionStatus,
    /// Log position of the instance, if it reported one.
    pub position: Option<Position>,
    /// Replication status; present only in responses to [`Command::Status`](super::Command::Status)
    /// and [`Command::StepDown`](super::Command::StepDown).
    pub instance_status: Option<InstanceStatus>,
}

/// Whether a command succeeded at an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    /// The command succeeded.
    Complete {
        /// Signature of the instance, passed on unchanged.
        signature: Bytes,
    },
    /// The command failed or was refused.
    Error {
        /// Kind of the error.
        code: ErrorCode,
        /// Description by the instance, passed on unchanged.
        text: Bytes,
    },
}

impl ResponseOutcome {
    /// Returns the error code if the command failed.
    #[must_use]
    pub fn error(&self) -> Option<ErrorCode> {
        match self {
            Self::Complete { .. } => None,
            Self::Error { code, .. } => Some(*code),
        }
    }
}
