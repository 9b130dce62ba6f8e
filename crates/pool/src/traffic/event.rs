//! Inputs of the traffic state machine.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::{Query, Response};
use crate::{ConnectionKey, ErrorCode, InstanceCall, PoolView, SessionKey};

/// Something that the I/O layer or the control state machine reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for a session. The key comes from [`Traffic::open_session`].
    ///
    /// [`Traffic::open_session`]: super::Traffic::open_session
    SessionStart {
        /// Session that the caller's connection belongs to.
        session: SessionKey,
        /// Database that the caller wants to use.
        database: Bytes,
    },
    /// A caller sent a statement.
    Query {
        /// Session that the statement belongs to.
        session: SessionKey,
        /// Decoded statement.
        query: Query,
    },
    /// A caller disconnected, or its connection broke.
    SessionClosed {
        /// Session that ended.
        session: SessionKey,
    },
    /// The TCP connection to an instance is established.
    Connected {
        /// Connection from [`Action::Connect`](super::Action::Connect).
        connection: ConnectionKey,
    },
    /// An instance accepted the startup command of a connection.
    ConnectionStarted {
        /// Connection that is ready.
        connection: ConnectionKey,
        /// Log position of the instance, if it reported one.
        position: Option<Position>,
    },
    /// An instance refused the startup command of a connection.
    ConnectionRefused {
        /// Refused connection.
        connection: ConnectionKey,
        /// Reason for the refusal.
        code: ErrorCode,
    },
    /// An instance responded to the oldest outstanding command of a connection.
    Response {
        /// Connection that the response came from.
        connection: ConnectionKey,
        /// Complete response.
        response: Response,
    },
    /// A connection could not be established, broke, or was closed by the instance.
    ConnectionLost {
        /// Connection that no longer exists.
        connection: ConnectionKey,
    },
    /// The control state machine published a new view of the configuration, instances and
    /// primaries.
    View(Arc<PoolView>),
    /// The control state machine wants a command sent to an instance.
    InstanceCall(InstanceCall),
    /// The control state machine wants evidence that a replica set's primary is alive.
    ProbePrimary {
        /// Name of the replica set.
        replica_set: Bytes,
    },
    /// Another proxy has seen a position at a primary.
    PrimaryPosition {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Term of the primary.
        term: Term,
        /// The position covers every commit acknowledged before this time.
        at_us: u64,
        /// Position of the primary's log.
        position: Position,
    },
    /// The process is shutting down.
    Stop {
        /// Time from which sessions without an open transaction are closed.
        close_idle_us: u64,
        /// Time from which open transactions are rolled back and their sessions closed.
        abort_us: u64,
    },
}
