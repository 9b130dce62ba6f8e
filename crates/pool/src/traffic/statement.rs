//! Callers' statements.

use bytes::Bytes;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AccessMode {
    /// Does not modify data; may run on a replica.
    Read,
    /// May modify data; must run on the primary.
    Write,
}

/// A statement, decoded as far as routing needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is declared read-only, so that it may run on a replica.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Reads data; the text is forwarded unchanged.
    Read,
    /// Modifies data; the text is forwarded unchanged.
    Write,
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: Bytes,
        /// New value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// Name that is valid in this session only.
        name: Bytes,
        /// Whether the prepared statement reads or writes.
        mode: AccessMode,
        /// Statement without its arguments; opaque to the proxy.
        shape: Bytes,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name given in this session.
        name: Bytes,
        /// Arguments, forwarded unchanged.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name given in this session.
        name: Bytes,
    },
    /// Could not be parsed; the reply is [`ErrorCode::Malformed`](crate::ErrorCode::Malformed).
    Unknown,
}

/// A statement with its request id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Request id chosen by the caller, forwarded unchanged.
    pub id: Bytes,
    /// Text as the caller sent it.
    pub text: Bytes,
    /// Decoded form of the text.
    pub statement: Statement,
}
