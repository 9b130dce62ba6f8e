//! Replica sets as the traffic machine sees them.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::position_history::PositionHistory;
use super::refusal_rate::RefusalRate;
use crate::{InstanceKey, SessionKey};

/// Whether statements may be sent to the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrimaryState {
    /// No primary is known.
    Unknown,
    /// It takes statements.
    Serving,
    /// Others reach it, this proxy does not.
    ReachableByOthers,
    /// No proxy reaches it.
    Lost { expected_us: u64 },
    /// It is being replaced.
    Replacing { is_draining: bool, expected_us: u64 },
}

/// A replica set.
#[derive(Debug)]
pub struct ReplicaSet {
    pub name: Bytes,
    pub instances: Vec<InstanceKey>,
    pub primary: Option<InstanceKey>,
    pub state: PrimaryState,
    pub term: Term,
    pub positions: PositionHistory,
    /// First position seen in the present term; it covers all commits that earlier terms have kept.
    pub term_start_position: Option<Position>,
    /// Connections that one instance takes from all proxies together.
    pub connections_limit: u32,
    /// Connections that this proxy may hold at one instance.
    pub connections_share: u32,
    /// Idle connections that it keeps open at one instance, 0 if the instances are too crowded for one
    /// of each proxy.
    pub min_connections: u32,
    /// What its congested primary turns away.
    pub refusal_rate: RefusalRate,
    /// Last report that the primary serves all reads.
    pub overload_reported_us: u64,
    /// Sessions whose request waits for a connection.
    pub queue: Vec<SessionKey>,
    /// Largest age of what a read of the set may miss, over its databases.
    pub max_staleness_us: u64,
    /// Last time a read that replicas may serve arrived.
    pub last_stale_read_us: u64,
    /// Last time a report of a quiet primary was sent, by the term that it was for.
    pub quiescent_reported_term: Option<Term>,
}
