//! Transaction status of a backend connection.

use serde::{Deserialize, Serialize};

/// Transaction status of a connection as the backend server reports it with each response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed; the backend server accepts only a rollback.
    Failed,
}
