//! Replication state of an instance.

use flamingorock_core::{Position, Term};
use serde::{Deserialize, Serialize};

/// Role of an instance in its replica set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicationRole {
    /// Takes writes.
    Primary,
    /// Receives the primary's commits.
    Replica,
}

/// What an instance reports about itself when asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceStatus {
    /// Role.
    pub role: ReplicationRole,
    /// Term that the instance follows or leads.
    pub term: Term,
    /// Last position that it has received, applied or not.
    pub received: Position,
    /// Time by which what it has applied is behind the primary.
    pub lag_ms: u64,
}
