//! Answers of instances.

use bytes::Bytes;
use flamingorock_core::{Position, TransactionStatus};

use crate::{ErrorCode, InstanceStatus};

/// A complete answer to one command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Rows, passed on unchanged.
    pub rows: Vec<Bytes>,
    /// How the command ended.
    pub outcome: ResponseOutcome,
    /// Transaction status of the connection after it.
    pub status: TransactionStatus,
    /// Position of the instance's log.
    pub position: Option<Position>,
    /// State of replication, in the answer to a group command.
    pub instance_status: Option<InstanceStatus>,
}

/// How a command ended at an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    /// It succeeded.
    Complete {
        /// The instance's signature, passed on unchanged.
        signature: Bytes,
    },
    /// It failed.
    Error {
        /// Why.
        code: ErrorCode,
        /// Text of the instance.
        text: Bytes,
    },
}

impl ResponseOutcome {
    /// The error, if it failed.
    #[must_use]
    pub fn error(&self) -> Option<ErrorCode> {
        match self {
            Self::Complete { .. } => None,
            Self::Error { code, .. } => Some(*code),
        }
    }
}
