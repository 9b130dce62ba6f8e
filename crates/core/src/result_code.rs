//! Numbered result codes.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::ResultClass;

/// Result of a request that was not answered by a backend server. The thousands digit is the
/// [`ResultClass`]: 2 not run, 3 rolled back, 4 outcome unknown.
///
/// `docs/result-codes.md` lists the codes for operators; a test compares that table with this enum.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[repr(u16)]
pub enum ResultCode {
    /// no proxy owns the database at present
    NoOwner = 2001,
    /// the proxy that was asked does not own the database
    WrongOwner = 2002,
    /// the database has no primary at present
    NoPrimary = 2003,
    /// the deadline passed while the request waited in the queue
    QueueDeadline = 2004,
    /// the expected wait is longer than the request's deadline
    Overloaded = 2005,
    /// the queue of the request's rank is full
    QueueFull = 2006,
    /// no replica can confirm writes at present
    NoConfirmingReplica = 2007,
    /// the proxy is shutting down
    ShuttingDown = 2008,
    /// the database or service does not exist in the configuration
    UnknownDatabase = 2009,
    /// the rank does not exist in the service
    UnknownRank = 2010,
    /// the request is larger than the limit
    RequestTooLarge = 2011,
    /// the feature is not supported
    Unsupported = 2012,
    /// the value of a setting is invalid
    InvalidSetting = 2013,
    /// the service has reached its limit of callers
    TooManyCallers = 2014,
    /// the message does not follow the protocol
    ProtocolViolation = 2015,
    /// the backend server cannot be reached
    BackendUnavailable = 2016,
    /// the request was cancelled before it ran
    CancelledNotRun = 2017,
    /// the owning proxy cannot be reached
    OwnerUnreachable = 2018,
    /// no configuration is in force at this proxy yet
    NoConfiguration = 2019,
    /// the transaction was rolled back because its connection was lost
    TransactionLost = 3001,
    /// the statement was cancelled at its deadline and rolled back
    StatementTimeout = 3002,
    /// the answer is larger than the limit; the request had no effect
    AnswerTooLarge = 3003,
    /// the transaction was rolled back because it was idle for too long
    IdleTransactionTimeout = 3004,
    /// the backend server was lost while the request ran
    BackendLost = 4001,
    /// the write was not confirmed by a majority of instances before the deadline
    Unconfirmed = 4002,
    /// the owning proxy was lost while the request ran
    OwnerLost = 4003,
    /// the request was cancelled or timed out while it ran
    AbandonedRunning = 4004,
    /// the answer is larger than the limit; the request may have taken effect
    LargeAnswerLost = 4005,
}

impl ResultCode {
    /// All codes in ascending order.
    pub const ALL: [ResultCode; 28] = [
        Self::NoOwner,
        Self::WrongOwner,
        Self::NoPrimary,
        Self::QueueDeadline,
        Self::Overloaded,
        Self::QueueFull,
        Self::NoConfirmingReplica,
        Self::ShuttingDown,
        Self::UnknownDatabase,
        Self::UnknownRank,
        Self::RequestTooLarge,
        Self::Unsupported,
        Self::InvalidSetting,
        Self::TooManyCallers,
        Self::ProtocolViolation,
        Self::BackendUnavailable,
        Self::CancelledNotRun,
        Self::OwnerUnreachable,
        Self::NoConfiguration,
        Self::TransactionLost,
        Self::StatementTimeout,
        Self::AnswerTooLarge,
        Self::IdleTransactionTimeout,
        Self::BackendLost,
        Self::Unconfirmed,
        Self::OwnerLost,
        Self::AbandonedRunning,
        Self::LargeAnswerLost,
    ];

    /// The number shown to callers and operators.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Whether the request took effect, as far as the code tells.
    #[must_use]
    pub fn class(self) -> ResultClass {
        match self.number() / 1000 {
            2 => ResultClass::NotRun,
            3 => ResultClass::RolledBack,
            _ => ResultClass::OutcomeUnknown,
        }
    }

    /// The PostgreSQL error code (SQLSTATE) sent to callers with this result.
    #[must_use]
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::NoOwner
            | Self::WrongOwner
            | Self::NoPrimary
            | Self::NoConfirmingReplica
            | Self::BackendUnavailable
            | Self::OwnerUnreachable
            | Self::NoConfiguration => "57P03",
            Self::QueueDeadline | Self::Overloaded | Self::QueueFull => "53000",
            Self::ShuttingDown => "57P01",
            Self::UnknownDatabase => "3D000",
            Self::UnknownRank | Self::InvalidSetting => "22023",
            Self::RequestTooLarge | Self::AnswerTooLarge => "54000",
            Self::Unsupported => "0A000",
            Self::TooManyCallers => "53300",
            Self::ProtocolViolation => "08P01",
            Self::CancelledNotRun | Self::StatementTimeout => "57014",
            Self::TransactionLost => "40000",
            Self::IdleTransactionTimeout => "25P03",
            Self::BackendLost
            | Self::Unconfirmed
            | Self::OwnerLost
            | Self::AbandonedRunning
            | Self::LargeAnswerLost => "08007",
        }
    }
}
