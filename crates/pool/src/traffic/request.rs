//! Statements that wait or run.

use flamingorock_core::Position;

use super::Query;
use crate::{ConnectionKey, InstanceKey};

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waits for a connection.
    Queued,
    /// Waits for the pinned connection's instance to have room again.
    BackingOff { connection: ConnectionKey },
    /// The connection is given the session's values.
    Syncing { connection: ConnectionKey },
    /// The transaction is being opened.
    Beginning { connection: ConnectionKey },
    /// The statement has been sent.
    Running { connection: ConnectionKey },
}

/// What a request needs of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Routing {
    /// The primary.
    Primary,
    /// Any instance whose log is fresh enough.
    AnyFresh { max_staleness_us: u64, own_writes: bool },
}

/// A statement of a session.
#[derive(Clone, Debug)]
pub struct Request {
    pub query: Query,
    pub stage: Stage,
    pub arrived_us: u64,
    /// When the caller is told that the statement took too long.
    pub deadline_us: u64,
    /// Up to when an answer is worth most.
    pub target_us: u64,
    pub rank: u8,
    /// Not placed before this time, after a refusal by an instance.
    pub not_before_us: u64,
    pub attempts: u32,
    pub routing: Routing,
    pub is_write: bool,
    /// Instance that refused it last.
    pub avoided_instance: Option<InstanceKey>,
    /// Whether a replica was found to be behind what it needs.
    pub prefers_primary: bool,
    /// Position that the log was required to have.
    pub min_position: Option<Position>,
    pub sent_us: u64,
}
