//! Reports of the traffic state machine to the control state machine.

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::ReplicaState;
use crate::InstanceCallResult;

/// A report to the control state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// The primary responded. Sent at most once per interval, and at once after an outage or a
    /// request to probe.
    PrimaryAlive {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Id of the primary.
        instance: Bytes,
        /// Time at which the command was sent that the primary responded to.
        at_us: u64,
        /// Log position in the response, if any.
        position: Option<Position>,
    },
    /// The primary cannot be reached: connections are refused or time out.
    PrimaryUnreachable {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Id of the primary.
        instance: Bytes,
        /// Time of the first sign of failure.
        since_us: u64,
    },
    /// No session uses a primary that is being replaced, and no new statements will be sent there.
    PrimaryQuiescent {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Term of the primary that is being replaced.
        term: Term,
        /// Last log position seen at the primary.
        position: Option<Position>,
    },
    /// The primary refused a statement because it no longer acts as primary.
    NotPrimary {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Id of the instance.
        instance: Bytes,
    },
    /// A replica became eligible or ineligible for reads, or the reason changed.
    ReplicaStateChanged {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Id of the replica.
        instance: Bytes,
        /// New state.
        state: ReplicaState,
        /// Replication lag when the replica last reported its position; absent if unknown.
        lag_ms: Option<u64>,
        /// Exponentially weighted share of failed statements, in thousandths.
        failure_permille: u32,
    },
    /// The primary is congested and refuses statements, because it has to serve all reads while
    /// every connected replica lags too far behind.
    PrimaryOverloaded {
        /// Name of the replica set.
        replica_set: Bytes,
        /// Term of the primary.
        term: Term,
    },
    /// A call requested by the control state machine has finished.
    InstanceCallResult(InstanceCallResult),
    /// The last session was closed after [`Event::Stop`](super::Event::Stop).
    Stopped,
}
