//! Requests at the owner.

use bytes::Bytes;

use crate::message::ExecuteRequest;
use crate::{ConnectionKey, HostId, Position, TransactionKey, TransactionStatus};

/// A request at the owner of its database, from admission until its outcome is sent to the entry
/// proxy.
#[derive(Clone, Debug)]
pub(crate) struct WorkItem {
    /// Entry proxy that sent the request.
    pub(crate) origin: HostId,
    pub(crate) request: ExecuteRequest,
    pub(crate) arrived_us: u64,
    /// Time under which the request is listed in `work_deadlines`.
    pub(crate) deadline_us: u64,
    pub(crate) state: WorkItemState,
}

/// State of a request at the owner.
#[derive(Clone, Debug)]
pub(crate) enum WorkItemState {
    /// A read of a session without a minimum position waits for a confirmed position of the
    /// primary.
    AwaitingMinPosition,
    /// It waits in a queue to be dispatched.
    Queued,
    /// It runs on a connection. `cancelled` is set once its deadline has passed and a cancel
    /// request has been sent to the backend server.
    Running { connection: ConnectionKey, started_us: u64, cancelled: bool },
    /// The backend server has responded, and the response is held until it is confirmed.
    AwaitingConfirmation(HeldResponse),
}

/// A response that is held until it is confirmed.
#[derive(Clone, Debug)]
pub(crate) struct HeldResponse {
    pub(crate) responded_us: u64,
    pub(crate) response: Bytes,
    pub(crate) status: TransactionStatus,
    pub(crate) transaction: Option<TransactionKey>,
    /// Position of the primary at or after the commit; `None` until a probe reports it.
    pub(crate) position: Option<Position>,
}
