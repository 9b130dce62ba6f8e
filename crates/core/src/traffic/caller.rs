//! Callers.

use crate::{DatabaseId, HostId, Position, RequestKey, TransactionKey, TransactionStatus};

/// A caller connected to this proxy. A session lasts as long as its caller's connection.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) database: DatabaseId,
    /// Position that reads must include; `None` until the first answer fixes it.
    pub(crate) min_position: Option<Position>,
    pub(crate) transaction: SessionTransaction,
    pub(crate) in_flight: Option<RequestKey>,
}

/// The transaction of a session as the entry proxy knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionTransaction {
    /// No transaction is open.
    None,
    /// A transaction is open at the owner of the database.
    Open { owner: HostId, key: TransactionKey, status: TransactionStatus },
    /// The transaction was rolled back before the caller ended it. Nothing of it may run until the
    /// caller ends it, or a later statement would run outside the transaction it belongs to.
    Lost,
}

impl SessionTransaction {
    /// Status that the caller is told.
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

    /// Whether the caller can be disconnected without cutting anything.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.transaction == SessionTransaction::None
    }

    /// Raises the position that later reads must include.
    pub(crate) fn raise_min_position(&mut self, position: Option<Position>) {
        self.min_position = self.min_position.max(position);
    }
}
