//! Connections to instances.

use std::collections::VecDeque;

use bytes::Bytes;

use super::PreparedId;
use crate::{InstanceCall, InstanceKey, SessionKey};

/// State of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// TCP is being established.
    Connecting,
    /// The instance has not accepted the connection yet.
    Starting,
    /// Commands may be sent.
    Ready,
}

/// A command whose answer is outstanding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outstanding {
    /// Gives the connection a session's values.
    Sync,
    /// Opens a transaction.
    Begin,
    /// A caller's statement.
    Statement,
    /// Rolls a transaction back that the caller has left or that failed.
    Rollback,
    /// A probe.
    Probe,
    /// A call of the control machine.
    Group(InstanceCall),
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    pub instance: InstanceKey,
    pub state: ConnectionState,
    /// Deadline of the present state, until ready.
    pub start_deadline_us: u64,
    pub session: Option<SessionKey>,
    pub outstanding: VecDeque<(u64, Outstanding)>,
    /// Session values and prepared shapes that the instance holds for this connection.
    pub values: Vec<(Bytes, Bytes)>,
    pub prepared: Vec<PreparedId>,
    pub last_used_us: u64,
}

impl Connection {
    /// Whether an answer to a caller's work is outstanding, which may occupy a slot.
    pub fn is_running(&self) -> bool {
        self.session.is_some() && !self.outstanding.is_empty()
    }

    /// Whether the connection can take work now.
    pub fn is_idle(&self) -> bool {
        self.state == ConnectionState::Ready
            && self.session.is_none()
            && self.outstanding.is_empty()
    }
}
