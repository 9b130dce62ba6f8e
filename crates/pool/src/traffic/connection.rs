//! Connections to instances.

use std::collections::VecDeque;

use bytes::Bytes;

use super::PreparedId;
use crate::{InstanceCall, InstanceKey, SessionKey};

/// Progress of a connection's startup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// The TCP connection is being established.
    Connecting,
    /// The startup command has been sent, and the instance has not accepted it yet.
    Starting,
    /// Commands may be sent.
    Ready,
}

/// A command that the instance has not responded to yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outstanding {
    /// Brings session variables and prepared statements on the connection in line with the session.
    Sync,
    /// Opens a transaction.
    Begin,
    /// A caller's statement.
    Statement,
    /// Rolls back a transaction that the caller abandoned or that failed.
    Rollback,
    /// Checks that the instance responds.
    Probe,
    /// A call on behalf of the control state machine.
    InstanceCall(InstanceCall),
}

/// A connection to an instance.
#[derive(Debug)]
pub struct Connection {
    pub instance: InstanceKey,
    pub state: ConnectionState,
    /// Deadline of the current startup step; unused once the connection is ready.
    pub start_deadline_us: u64,
    /// Session that the connection is assigned to.
    pub session: Option<SessionKey>,
    /// Commands without a response, oldest first, with the times at which they were sent.
    pub outstanding: VecDeque<(u64, Outstanding)>,
    /// Session variables that the instance holds for this connection, sorted.
    pub variables: Vec<(Bytes, Bytes)>,
    /// Prepared statements that the instance holds for this connection.
    pub prepared: Vec<PreparedId>,
    /// Time at which the last command other than a probe was sent, or the connection was opened.
    pub last_used_us: u64,
}

impl Connection {
    /// Whether a response to a caller's command is outstanding; the command may occupy an execution
    /// slot.
    pub fn is_running(&self) -> bool {
        self.session.is_some() && !self.outstanding.is_empty()
    }

    /// Whether the connection is ready and neither assigned to a session nor waiting for a
    /// response.
    pub fn is_idle(&self) -> bool {
        self.state == ConnectionState::Ready
            && self.session.is_none()
            && self.outstanding.is_empty()
    }
}
