//! Requests at the owner of their database.

use bytes::Bytes;

use crate::message::ExecuteRequest;
use crate::{ConnectionKey, HostId, Position, TransactionKey, TransactionStatus};

/// A request at the owner of its database, until its outcome is sent to the entry proxy.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// Entry proxy.
    pub(crate) origin: HostId,
    pub(crate) request: ExecuteRequest,
    pub(crate) arrived_us: u64,
    /// Entry in the index of deadlines.
    pub(crate) deadline_us: u64,
    pub(crate) state: WorkState,
}

/// Where a request is at the owner.
#[derive(Clone, Debug)]
pub(crate) enum WorkState {
    /// A read of a session without a token waits for a confirmed position of the primary.
    AwaitingMinPosition,
    /// It waits in a queue for a slot.
    Queued,
    /// It runs on a connection. `cancelled` says that its deadline has passed and the backend server
    /// was asked to cancel it.
    Running { connection: ConnectionKey, started_us: u64, cancelled: bool },
    /// The backend server has answered; the answer is held back until it is confirmed.
    AwaitingConfirmation(HeldAnswer),
}

/// An answer that is held back until it is confirmed.
#[derive(Clone, Debug)]
pub(crate) struct HeldAnswer {
    pub(crate) answered_us: u64,
    pub(crate) answer: Bytes,
    pub(crate) status: TransactionStatus,
    pub(crate) transaction: Option<TransactionKey>,
    /// Position of the primary at or after the commit, once a probe has told it.
    pub(crate) position: Option<Position>,
}
