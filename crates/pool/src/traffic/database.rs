//! Databases of the present configuration.

use crate::{ReadPolicy, ReplicaSetKey};

/// How statements of a database are served.
#[derive(Clone, Copy, Debug)]
pub struct Database {
    pub replica_set: ReplicaSetKey,
    pub read_policy: ReadPolicy,
    pub statement_timeout_us: u64,
    pub target_latency_us: u64,
    pub rank: u8,
}
