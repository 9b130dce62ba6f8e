//! Calls that the control machine has the traffic thread make at an instance.

use bytes::Bytes;
use flamingorock_core::Term;

use crate::InstanceStatus;

/// What an instance is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceCommand {
    /// Report the state of replication.
    Status,
    /// Stop being primary if the own term is lower.
    StepDown(Term),
}

/// A call at an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceCall {
    /// Replica set of the instance.
    pub replica_set: Bytes,
    /// The instance.
    pub instance: Bytes,
    /// What it is asked to do.
    pub command: InstanceCommand,
    /// Time after which the answer is of no use.
    pub deadline_us: u64,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceCallOutcome {
    /// The instance has answered.
    Status(InstanceStatus),
    /// The instance has refused for now.
    Refused,
    /// No answer came in time, or there is no connection.
    Unreachable,
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceCallResult {
    /// The call.
    pub call: InstanceCall,
    /// What came of it.
    pub outcome: InstanceCallOutcome,
}
