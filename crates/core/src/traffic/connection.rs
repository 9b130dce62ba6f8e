//! Connections to backend servers.

use crate::{InstanceId, TransactionKey, WorkItemKey};

/// A connection to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub(crate) instance: InstanceId,
    pub(crate) state: ConnectionState,
    /// The transaction that holds the connection from its begin to its end.
    pub(crate) transaction: Option<TransactionKey>,
    /// Whether session state may be left over, so that a reset is due before the next session.
    pub(crate) needs_reset: bool,
    /// Whether a cancel request is on its way. It may arrive late and hit whatever runs then, so the
    /// connection is not given to another session any more.
    pub(crate) cancel_sent: bool,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionState {
    Opening,
    /// Free, or held by a transaction that waits for its next statement.
    Idle,
    Running(WorkItemKey),
    Resetting,
}
