//! Connections to backend servers.

use crate::{InstanceId, TransactionKey, WorkItemKey};

/// A connection to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub(crate) instance: InstanceId,
    pub(crate) state: ConnectionState,
    /// The open transaction that holds the connection until it ends.
    pub(crate) transaction: Option<TransactionKey>,
    /// Whether session state may remain, so that the connection must be reset before its next
    /// session.
    pub(crate) needs_reset: bool,
    /// Whether a cancel request has been sent. It may arrive late and cancel whatever runs then, so
    /// the connection is closed instead of being reused by another session.
    pub(crate) cancel_sent: bool,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionState {
    Opening,
    /// Available, or held by a transaction between statements.
    Idle,
    Running(WorkItemKey),
    Resetting,
}
