//! Statements of callers.

use bytes::Bytes;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AccessMode {
    /// Only reads.
    Read,
    /// Writes.
    Write,
}

/// A statement, decoded as far as decisions need it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads; the text is passed on.
    Read,
    /// Writes; the text is passed on.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// Name for the session.
        name: Bytes,
        /// Whether it reads or writes.
        mode: AccessMode,
        /// What is prepared.
        shape: Bytes,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name in the session.
        name: Bytes,
        /// Arguments, passed on.
        arguments: Bytes,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name in the session.
        name: Bytes,
    },
    /// Cannot be understood.
    Unknown,
}

/// A statement with its identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Identity that the caller chose, passed on unchanged.
    pub id: Bytes,
    /// Text as the caller sent it.
    pub text: Bytes,
    /// What the text says.
    pub statement: Statement,
}
