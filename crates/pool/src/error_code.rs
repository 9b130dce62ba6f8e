//! Error codes that instances return and that callers receive.

use derive_more::Display;

/// Reason for the failure of a statement or of a session start.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ErrorCode {
    /// Not run: the server has no capacity for it.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// Not run: the instance has not yet received the required log position.
    Lagging,
    /// Not run: the instance is not the primary.
    ReadOnly,
    /// Not run: another instance now uses this address.
    WrongInstance,
    /// Not run: the instance accepts no more connections.
    ConnectionsExhausted,
    /// The statement may or may not have taken effect.
    InDoubt,
    /// No answer before the timeout; the statement may or may not have taken effect.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// No prepared statement has this name.
    UnknownPrepared,
    /// No database has this name.
    UnknownDatabase,
    /// The message is too large.
    TooLarge,
    /// The message cannot be parsed, or is not allowed in this state of the transaction.
    Malformed,
    /// The peer lacks the permission.
    Unauthorized,
    /// A code that this version does not recognize.
    Other,
}

impl ErrorCode {
    /// Whether an instance that returns this code guarantees that the statement did not run.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::WrongInstance
                | Self::ConnectionsExhausted
                | Self::UnknownPrepared
        )
    }
}
