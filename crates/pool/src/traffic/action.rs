//! Outputs of the traffic machine.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::{Position, Term, TransactionStatus};

use super::{AccessMode, PreparedId};
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// Something for the I/O layer to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Tells a caller that its session has started.
    Accept {
        /// The session.
        session: SessionKey,
    },
    /// Refuses a session; a close follows.
    Refuse {
        /// The session.
        session: SessionKey,
        /// Why.
        code: ErrorCode,
        /// When the caller may try again.
        retry_after_ms: Option<u32>,
    },
    /// Answers a statement.
    Reply {
        /// The session.
        session: SessionKey,
        /// The answer.
        reply: Reply,
    },
    /// Closes a session after what has been sent to it.
    CloseSession {
        /// The session.
        session: SessionKey,
    },
    /// Opens a connection.
    Connect {
        /// The connection.
        connection: ConnectionKey,
        /// Where to.
        address: SocketAddr,
    },
    /// Sends a command to an instance.
    Send {
        /// The connection.
        connection: ConnectionKey,
        /// The command.
        command: Command,
    },
    /// Closes a connection at once. What it may still deliver is discarded.
    CloseConnection {
        /// The connection.
        connection: ConnectionKey,
    },
}

/// An answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Rows of the instance.
    pub rows: Vec<Bytes>,
    /// How the statement ended.
    pub outcome: ReplyOutcome,
    /// Transaction status of the session.
    pub status: TransactionStatus,
    /// Position of the instance's log, if an instance answered.
    pub position: Option<Position>,
}

/// How a statement ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyOutcome {
    /// It succeeded; the signature is absent if no instance took part.
    Complete {
        /// The instance's signature.
        signature: Option<Bytes>,
    },
    /// It failed.
    Error {
        /// Why.
        code: ErrorCode,
        /// Text for the caller.
        text: Bytes,
        /// When the caller may try again, if it was refused for lack of capacity.
        retry_after_ms: Option<u32>,
    },
}

/// A command to an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Starts the connection.
    Start {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Instance that is expected at the address.
        instance: Bytes,
    },
    /// Passes a caller's statement on.
    Forward {
        /// The caller's id.
        id: Bytes,
        /// The caller's text.
        text: Bytes,
        /// Position that the log must have.
        min_position: Option<Position>,
    },
    /// Executes a prepared statement under its shared name.
    Execute {
        /// The caller's id.
        id: Bytes,
        /// What is executed.
        prepared: PreparedId,
        /// The caller's arguments.
        arguments: Bytes,
        /// Position that the log must have.
        min_position: Option<Position>,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a shape under its shared name.
    Prepare {
        /// Number of the shape.
        prepared: PreparedId,
        /// Whether it reads or writes.
        mode: AccessMode,
        /// The shape.
        shape: Bytes,
    },
    /// Clears session values and prepared statements. Costs no slot, so that it serves as a probe.
    Reset,
    /// Rolls the transaction back.
    Rollback,
    /// Reports the state of replication.
    Status,
    /// Stops being primary if the own term is lower.
    StepDown(Term),
}

/// A decision that touches a request, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// Identity of the request.
    pub request: Bytes,
    /// Its database.
    pub database: Bytes,
    /// Instance that took part.
    pub instance: Option<InstanceKey>,
    /// Identity of that instance.
    pub instance_id: Bytes,
    /// Time since the request arrived.
    pub age_us: u64,
    /// Term that the decision rests on.
    pub term: Term,
    /// Position that was required or found.
    pub position: Option<Position>,
    /// Sequence of the view that the decision rests on.
    pub view: u64,
    /// Error code, for the end of a request.
    pub code: Option<ErrorCode>,
    /// In plain words.
    pub reason: &'static str,
}

/// Kinds of decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecisionKind {
    /// Refused without having run.
    Refused,
    /// Sent again, to the same or another instance.
    Retried,
    /// Ended with an error.
    Failed,
}
