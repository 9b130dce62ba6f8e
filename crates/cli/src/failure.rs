//! Failures of commands.

use core::fmt;

use derive_more::{Error, From};
use flamingorock_config::ConfigErrors;
use flamingorock_platform::StoreError;
use serde::Serialize;

use crate::{ExitStatus, Winner};

/// Why a command did not do what was asked.
#[derive(Clone, Debug, Error, Eq, From, PartialEq, Serialize)]
#[serde(tag = "failure", rename_all = "snake_case")]
pub enum Failure {
    /// A file is not valid.
    Invalid {
        /// All its errors.
        errors: ConfigErrors,
    },
    /// The command was refused. Nothing was changed.
    #[from(skip)]
    Refused {
        /// Why.
        reason: String,
    },
    /// Another apply won. Nothing was changed.
    #[from(skip)]
    LostRace {
        /// The document in force, unless it could not be read.
        winner: Option<Winner>,
    },
    /// The store or every proxy is unreachable. Nothing was changed.
    #[from(skip)]
    Unreachable {
        /// Why.
        reason: String,
    },
    /// It is not known whether something was changed.
    #[from(skip)]
    Unknown {
        /// Why.
        reason: String,
    },
}

impl Failure {
    /// Exit code of the failure.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Invalid { .. } | Self::Refused { .. } => ExitStatus::Refused,
            Self::LostRace { .. } => ExitStatus::LostRace,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::Unknown { .. } => ExitStatus::Unknown,
        }
    }

    /// The reason alone, without what it means for the command.
    pub(crate) fn reason(&self) -> String {
        match self {
            Self::Refused { reason } | Self::Unreachable { reason } | Self::Unknown { reason } => {
                reason.clone()
            }
            Self::Invalid { .. } | Self::LostRace { .. } => self.to_string(),
        }
    }

    /// A failed call that had no effect: a read, or a write that never reached the store.
    pub(crate) fn without_effect(error: &StoreError) -> Self {
        let reason = match error {
            // A read has no effect whatever became of its answer.
            StoreError::NoResponse { url, reason } => {
                format!("no usable answer from {url}: {reason}")
            }
            _ => error.to_string(),
        };
        match error {
            StoreError::Unreachable { .. }
            | StoreError::NoResponse { .. }
            | StoreError::DeadlinePassed { .. } => Self::Unreachable { reason },
            StoreError::Refused { .. }
            | StoreError::InvalidKey { .. }
            | StoreError::TooLarge { .. }
            | StoreError::InvalidValue { .. } => Self::Refused { reason },
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { errors } => write!(f, "{errors}"),
            Self::Refused { reason } => write!(f, "refused: {reason}"),
            Self::LostRace { winner: Some(winner) } => {
                write!(f, "another apply won, nothing was changed; in force is {winner}")
            }
            Self::LostRace { winner: None } => {
                write!(f, "another apply won, nothing was changed; it could not be read")
            }
            Self::Unreachable { reason } => write!(f, "unreachable, nothing was changed: {reason}"),
            Self::Unknown { reason } => write!(f, "outcome unknown: {reason}"),
        }
    }
}
