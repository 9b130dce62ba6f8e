//! Calls to instances that the traffic thread makes on behalf of the control machine.

use bytes::Bytes;
use flamingorock_core::Term;

use crate::InstanceStatus;

/// Operation that an instance is asked to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceCommand {
    /// Report the replication state.
    Status,
    /// Stop acting as primary if the instance's own term is lower than this one.
    StepDown(Term),
}

/// A call to one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceCall {
    /// Replica set that the instance belongs to.
    pub replica_set: Bytes,
    /// Id of the instance.
    pub instance: Bytes,
    /// Operation to perform.
    pub command: InstanceCommand,
    /// Time after which the caller no longer uses the answer.
    pub deadline_us: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceCallOutcome {
    /// The instance reported its replication state.
    Status(InstanceStatus),
    /// The instance returned an error; the call may succeed later.
    Refused,
    /// The instance did not answer in time, or no connection to it exists.
    Unreachable,
}

/// A finished call with its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceCallResult {
    /// The call as it was requested.
    pub call: InstanceCall,
    /// How it ended.
    pub outcome: InstanceCallOutcome,
}
