//! Transaction status of a connection.

use serde::{Deserialize, Serialize};

/// Transaction status of a backend server connection after an answer, as the backend server reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and failed; only a rollback is accepted.
    Failed,
}
