//! What the traffic machine tells the control machine.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::ReplicaState;
use crate::InstanceCallResult;

/// An observation of the traffic machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// The primary has given a sign of life. Sent at most once per interval and after a loss.
    PrimaryAlive {
        /// The replica set.
        replica_set: Bytes,
        /// The instance.
        instance: Bytes,
        /// When.
        at_us: u64,
        /// Last position seen.
        position: Option<Position>,
    },
    /// The primary cannot be reached: connections are refused or stay silent.
    PrimaryUnreachable {
        /// The replica set.
        replica_set: Bytes,
        /// The instance.
        instance: Bytes,
        /// Since when.
        since_us: u64,
    },
    /// Nothing is outstanding at a primary that is held, and nothing more will be sent.
    PrimaryQuiescent {
        /// The replica set.
        replica_set: Bytes,
        /// Term that is replaced.
        term: Term,
        /// Last position seen there.
        position: Option<Position>,
    },
    /// An instance has refused to act as primary.
    NotPrimary {
        /// The replica set.
        replica_set: Bytes,
        /// The instance.
        instance: Bytes,
    },
    /// A replica takes reads from now on, or takes none.
    ReplicaStateChanged {
        /// The replica set.
        replica_set: Bytes,
        /// The instance.
        instance: Bytes,
        /// Whether it takes reads.
        state: ReplicaState,
        /// Age of what its log covered when it was last seen, if known.
        lag_ms: Option<u64>,
        /// Statements that fail there, in thousandths.
        failure_permille: u32,
    },
    /// The primary is congested and serves all reads, because no replica is fresh enough.
    PrimaryOverloaded {
        /// The replica set.
        replica_set: Bytes,
        /// Term of the primary.
        term: Term,
    },
    /// A call has ended.
    InstanceCallResult(InstanceCallResult),
    /// The last session has ended after [`Event::Stop`](super::Event::Stop).
    Stopped,
}
