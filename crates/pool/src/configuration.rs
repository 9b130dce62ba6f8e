//! The operators' configuration, as far as the pooled mode uses it.

use bytes::Bytes;

use crate::ReadPolicy;

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Configuration {
    /// Version, rising.
    pub version: u64,
    /// Databases that callers may name.
    pub databases: Vec<DatabaseConfig>,
    /// Replica sets behind them.
    pub replica_sets: Vec<ReplicaSetConfig>,
    /// Idle time after which an open transaction may be ended.
    pub idle_transaction_us: u64,
}

/// How the statements of one database are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabaseConfig {
    /// Name that callers use.
    pub name: Bytes,
    /// Replica set that holds the data.
    pub replica_set: Bytes,
    /// Rule for reads.
    pub read_policy: ReadPolicy,
    /// Longest time from the arrival of a statement to its answer.
    pub statement_timeout_us: u64,
    /// Latency within which a whole operation is worth most.
    pub target_latency_us: u64,
    /// Rank, 0 is the most urgent.
    pub rank: u8,
}

/// Properties of a replica set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSetConfig {
    /// Name.
    pub name: Bytes,
    /// Connections that one instance takes from all proxies together.
    pub connections_limit: u32,
    /// Replicas that have received a commit when it is acknowledged.
    pub sync_replicas: u32,
}
