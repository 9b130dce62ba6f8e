//! Statements that are queued or running.

use flamingorock_core::Position;

use super::Query;
use crate::{ConnectionKey, InstanceKey};

/// Progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waits in the replica set's queue for a connection.
    Queued,
    /// Waits to be sent again on the transaction's connection, because the instance had no
    /// capacity.
    BackingOff { connection: ConnectionKey },
    /// Session variables and prepared statements are being set on the connection.
    Syncing { connection: ConnectionKey },
    /// The transaction is being opened at the instance.
    Beginning { connection: ConnectionKey },
    /// The statement has been sent.
    Running { connection: ConnectionKey },
}

/// Which instances may serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Routing {
    /// Only the primary.
    Primary,
    /// Any instance whose log covers all commits older than `max_staleness_us` and, with
    /// `own_writes`, the session's own commits.
    AnyFresh { max_staleness_us: u64, own_writes: bool },
}

/// A statement that needs an instance.
#[derive(Clone, Debug)]
pub struct Request {
    pub query: Query,
    pub stage: Stage,
    pub arrived_us: u64,
    /// Time at which the request ends with a timeout.
    pub deadline_us: u64,
    /// Time by which the request should be served to meet the database's target latency.
    pub target_us: u64,
    pub rank: u8,
    /// The request is not placed before this time, because an instance refused it.
    pub not_before_us: u64,
    /// Failed attempts so far.
    pub attempts: u32,
    pub routing: Routing,
    pub is_write: bool,
    /// Instance of the last failed attempt; a retried read is not sent there.
    pub avoided_instance: Option<InstanceKey>,
    /// Set once a replica refused the request because its log was behind.
    pub prefers_primary: bool,
    /// Log position that was required of the instance.
    pub min_position: Option<Position>,
    pub sent_us: u64,
}
