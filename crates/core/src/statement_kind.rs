//! Classification of statements for routing and retries.

use serde::{Deserialize, Serialize};

/// What a request may do to the database. Requests that cannot be classified are `Other`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StatementKind {
    /// Only reads. Outside a transaction it can be retried and can run on a replica.
    Read,
    /// A single `INSERT`, `UPDATE` or `DELETE`. It leaves no session state on the connection and
    /// cannot end a transaction.
    Write,
    /// Opens a transaction and does nothing else.
    Begin,
    /// Commits or rolls back a transaction and does nothing else.
    EndTransaction,
    /// Anything else, such as several statements in one message or a function call. It may end a
    /// transaction and may leave session state, so the connection is reset before another caller
    /// uses it.
    Other,
}
