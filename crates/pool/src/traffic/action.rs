//! Outputs of the traffic state machine.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::{Position, Term, TransactionStatus};

use super::{AccessMode, PreparedId};
use crate::{ConnectionKey, ErrorCode, InstanceKey, SessionKey};

/// An operation that the I/O layer carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Tells a caller that its session is established.
    Accept {
        /// Session that was established.
        session: SessionKey,
    },
    /// Refuses a session start and closes the caller's connection.
    Refuse {
        /// Refused session; its key is no longer valid.
        session: SessionKey,
        /// Error that is reported to the caller.
        code: ErrorCode,
        /// Delay after which the caller may try again; set only for [`ErrorCode::Busy`].
        retry_after_ms: Option<u32>,
    },
    /// Sends the result of a statement to a caller.
    Reply {
        /// Session that sent the statement.
        session: SessionKey,
        /// Result of the statement.
        reply: Reply,
    },
    /// Closes a session once everything queued for it has been sent.
    CloseSession {
        /// Session to close; its key is no longer valid.
        session: SessionKey,
    },
    /// Opens a TCP connection to an instance.
    Connect {
        /// Key under which events of the connection are reported.
        connection: ConnectionKey,
        /// Address of the instance.
        address: SocketAddr,
    },
    /// Sends a command to an instance.
    Send {
        /// Connection that carries the command.
        connection: ConnectionKey,
        /// Command to encode and send.
        command: Command,
    },
    /// Closes a connection at once. Responses that have not been read are discarded.
    CloseConnection {
        /// Connection to close; its key is no longer valid.
        connection: ConnectionKey,
    },
}

/// Result of a statement, as sent to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Rows returned by the instance; empty if the proxy served the statement itself.
    pub rows: Vec<Bytes>,
    /// Whether the statement succeeded.
    pub outcome: ReplyOutcome,
    /// Transaction status of the session after the statement.
    pub status: TransactionStatus,
    /// Log position reported by the instance; absent if the proxy served the statement itself.
    pub position: Option<Position>,
}

/// Whether a statement succeeded, with the details for the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyOutcome {
    /// The statement succeeded.
    Complete {
        /// Signature returned by the instance; absent if the proxy served the statement itself.
        signature: Option<Bytes>,
    },
    /// The statement failed, or its outcome is unknown.
    Error {
        /// Kind of the error.
        code: ErrorCode,
        /// Human-readable description.
        text: Bytes,
        /// Delay after which the caller may try again; set only if the statement was refused for
        /// lack of capacity.
        retry_after_ms: Option<u32>,
    },
}

/// A command to an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Opens the session with the instance; the first command on every connection.
    Start {
        /// Replica set that the instance must belong to.
        replica_set: Bytes,
        /// Instance expected at the address. Another one refuses the connection.
        instance: Bytes,
    },
    /// Forwards a caller's statement unchanged.
    Forward {
        /// Request id chosen by the caller.
        id: Bytes,
        /// Statement text as the caller sent it.
        text: Bytes,
        /// Position that the instance's log must have reached; otherwise it refuses the statement.
        min_position: Option<Position>,
    },
    /// Executes a prepared statement under the name that the proxy gave it.
    Execute {
        /// Request id chosen by the caller.
        id: Bytes,
        /// Prepared statement to execute.
        prepared: PreparedId,
        /// Arguments as the caller sent them.
        arguments: Bytes,
        /// Position that the instance's log must have reached; otherwise it refuses the statement.
        min_position: Option<Position>,
    },
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: Bytes,
        /// New value.
        value: Bytes,
    },
    /// Prepares a statement under a name that the proxy derives from its id.
    Prepare {
        /// Id that the name is derived from.
        prepared: PreparedId,
        /// Whether the statement reads or writes.
        mode: AccessMode,
        /// Statement without its arguments, as the caller sent it.
        shape: Bytes,
    },
    /// Clears session variables and prepared statements. It takes no execution slot, so it also
    /// serves as a probe.
    Reset,
    /// Rolls back the open transaction.
    Rollback,
    /// Asks for the replication status.
    Status,
    /// Tells the instance to stop acting as primary if its term is lower than this one.
    StepDown(Term),
}

/// A routing decision about a request, written to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// Request id chosen by the caller.
    pub request: Bytes,
    /// Database of the session.
    pub database: Bytes,
    /// Instance involved; absent if the request had not been sent to one.
    pub instance: Option<InstanceKey>,
    /// Id of that instance; empty if there is none.
    pub instance_id: Bytes,
    /// Time since the request arrived.
    pub age_us: u64,
    /// Current term of the database's replica set.
    pub term: Term,
    /// Log position that the request required of the instance, if any.
    pub position: Option<Position>,
    /// Sequence number of the [`PoolView`](crate::PoolView) in effect.
    pub view: u64,
    /// Error that led to the decision, if any.
    pub code: Option<ErrorCode>,
    /// Reason in plain words.
    pub reason: &'static str,
}

/// Kinds of routing decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecisionKind {
    /// The request was refused without having run.
    Refused,
    /// The request is sent again, to the same or another instance.
    Retried,
    /// The request ended with an error.
    Failed,
}
