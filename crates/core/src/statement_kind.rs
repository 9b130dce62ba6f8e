//! Kinds of statements as far as routing is concerned.

use serde::{Deserialize, Serialize};

/// What a request may do to the database. Whatever is not known to be something better is `Other`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StatementKind {
    /// Reads only. Outside a transaction it may be repeated and may run on a replica.
    Read,
    /// A plain `INSERT`, `UPDATE` or `DELETE`. It leaves nothing behind in the connection's session
    /// and cannot end a transaction.
    Write,
    /// Opens a transaction and does nothing else.
    Begin,
    /// Commits or rolls back a transaction and does nothing else.
    EndTransaction,
    /// Anything else, such as several statements in one message or a function call. It may end a
    /// transaction and may leave session state behind, so the connection is reset before another
    /// caller gets it.
    Other,
}
