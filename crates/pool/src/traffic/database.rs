//! Databases of the configuration in effect.

use crate::{ReadPolicy, ReplicaSetKey};

/// Routing parameters of a database, resolved from its configuration.
#[derive(Clone, Copy, Debug)]
pub struct Database {
    pub replica_set: ReplicaSetKey,
    pub read_policy: ReadPolicy,
    pub statement_timeout_us: u64,
    pub target_latency_us: u64,
    /// Rank of the database's statements, 0 for the most urgent.
    pub rank: u8,
}
