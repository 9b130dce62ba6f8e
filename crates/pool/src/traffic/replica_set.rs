//! Replica sets.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::position_history::PositionHistory;
use super::refusal_rate::RefusalRate;
use crate::{InstanceKey, SessionKey};

/// Whether this proxy may send statements to the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrimaryState {
    /// No primary is known.
    Unknown,
    /// The primary accepts statements.
    Serving,
    /// Other proxies reach the primary, this one does not.
    ReachableByOthers,
    /// No proxy reaches the primary. The next one is expected to serve from `expected_us` on.
    Unreachable { expected_us: u64 },
    /// The primary is being replaced by a failover or switchover. While draining, running
    /// statements and open transactions may finish. The next primary is expected to serve from
    /// `expected_us` on.
    Replacing { is_draining: bool, expected_us: u64 },
}

/// State of a replica set, as seen from this proxy.
#[derive(Debug)]
pub struct ReplicaSet {
    pub name: Bytes,
    pub instances: Vec<InstanceKey>,
    pub primary: Option<InstanceKey>,
    pub state: PrimaryState,
    pub term: Term,
    pub positions: PositionHistory,
    /// First position seen in the current term. It covers all commits of earlier terms that
    /// survived the change of primary.
    pub term_start_position: Option<Position>,
    /// Connections that one instance accepts from all proxies together.
    pub connections_limit: u32,
    /// Connections that this proxy may hold to one instance.
    pub connections_share: u32,
    /// Connections to one instance that this proxy keeps open even when idle; 0 if the connection
    /// limit does not allow one for each proxy.
    pub min_connections: u32,
    /// Share of statements that were refused because the primary was congested.
    pub refusal_rate: RefusalRate,
    /// Time of the last [`Report::PrimaryOverloaded`](super::Report::PrimaryOverloaded).
    pub overload_reported_us: u64,
    /// Sessions whose request waits for a connection.
    pub queue: Vec<SessionKey>,
    /// Largest staleness that any database of the set allows its reads; 0 if none allows stale
    /// reads.
    pub max_staleness_us: u64,
    /// Arrival time of the last read that a replica may serve.
    pub last_stale_read_us: u64,
    /// Term for which [`Report::PrimaryQuiescent`](super::Report::PrimaryQuiescent) has been sent.
    pub quiescent_reported_term: Option<Term>,
}
