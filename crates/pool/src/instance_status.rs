//! Replication state that instances report.

use flamingorock_core::{Position, Term};
use serde::{Deserialize, Serialize};

/// Role of an instance in its replica set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicationRole {
    /// Accepts writes.
    Primary,
    /// Receives and applies the primary's commits.
    Replica,
}

/// Replication state of an instance, as its answer to a status call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceStatus {
    /// Role that the instance acts in.
    pub role: ReplicationRole,
    /// Term that the instance acts in, as primary or as replica.
    pub term: Term,
    /// Last log position that the instance has received, whether it has applied it or not.
    pub received: Position,
    /// How far the applied state is behind the primary.
    pub lag_ms: u64,
}
