//! Callers and their sessions.

use crate::{DatabaseId, HostId, Position, RequestKey, TransactionKey, TransactionStatus};

/// A caller connected to this proxy and its session, which lasts as long as the connection.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) database: DatabaseId,
    /// Position that reads must include; `None` until the first confirmed response sets it.
    pub(crate) min_position: Option<Position>,
    pub(crate) transaction: SessionTransaction,
    pub(crate) in_flight: Option<RequestKey>,
}

/// Transaction state of a session at the entry proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionTransaction {
    /// No transaction is open.
    None,
    /// A transaction is open at the owner of the database.
    Open { owner: HostId, key: TransactionKey, status: TransactionStatus },
    /// The transaction was rolled back before the caller ended it. All statements are refused until
    /// the caller ends it; otherwise a later statement would run outside the transaction that it
    /// belongs to.
    Lost,
}

impl SessionTransaction {
    /// Transaction status to report to the caller.
    pub(crate) fn status(self) -> TransactionStatus {
        match self {
            Self::None => TransactionStatus::Idle,
            Self::Open { status, .. } => status,
            Self::Lost => TransactionStatus::Failed,
        }
    }
}

impl Caller {
    pub(crate) fn new(database: DatabaseId) -> Self {
        Self {
            database,
            min_position: None,
            transaction: SessionTransaction::None,
            in_flight: None,
        }
    }

    /// Whether the caller has neither a request in flight nor a transaction.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.transaction == SessionTransaction::None
    }

    /// Raises the position that later reads must include.
    pub(crate) fn raise_min_position(&mut self, position: Option<Position>) {
        self.min_position = self.min_position.max(position);
    }
}
