//! Inputs of the traffic machine.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::Position;

use super::{Query, Response};
use crate::{ConnectionKey, ErrorCode, InstanceCall, PoolView, SessionKey};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for a session. The key comes from [`Traffic::open_session`].
    ///
    /// [`Traffic::open_session`]: super::Traffic::open_session
    SessionStart {
        /// The session.
        session: SessionKey,
        /// Database that it names.
        database: Bytes,
    },
    /// A caller sends a statement.
    Query {
        /// The session.
        session: SessionKey,
        /// The statement.
        query: Query,
    },
    /// A caller has left, or its connection is broken.
    SessionClosed {
        /// The session.
        session: SessionKey,
    },
    /// A TCP connection is established.
    Connected {
        /// The connection.
        connection: ConnectionKey,
    },
    /// An instance has accepted a connection.
    ConnectionStarted {
        /// The connection.
        connection: ConnectionKey,
        /// Position of its log.
        position: Option<Position>,
    },
    /// An instance has refused a connection.
    ConnectionRefused {
        /// The connection.
        connection: ConnectionKey,
        /// Why.
        code: ErrorCode,
    },
    /// An instance has answered the oldest outstanding command of a connection.
    Response {
        /// The connection.
        connection: ConnectionKey,
        /// The answer.
        response: Response,
    },
    /// A connection could not be established, is broken, or was closed by the instance.
    ConnectionLost {
        /// The connection.
        connection: ConnectionKey,
    },
    /// The control machine's belief has changed.
    View(Arc<PoolView>),
    /// The control machine has a call made.
    InstanceCall(InstanceCall),
    /// The control machine asks for a sign of life of a replica set's primary.
    ProbePrimary {
        /// The replica set.
        replica_set: Bytes,
    },
    /// The process is told to stop.
    Stop {
        /// From when on sessions without an open transaction are closed.
        close_idle_us: u64,
        /// When open transactions are rolled back.
        abort_us: u64,
    },
}
