//! Operator configuration: the parts that pooled mode uses.

use bytes::Bytes;

use crate::ReadPolicy;

/// A complete version of the operator configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Configuration {
    /// Version number; a configuration replaces one with a lower number.
    pub version: u64,
    /// Databases that callers can connect to.
    pub databases: Vec<DatabaseConfig>,
    /// Replica sets that store the databases.
    pub replica_sets: Vec<ReplicaSetConfig>,
    /// Idle time in microseconds after which an open transaction may be rolled back.
    pub idle_transaction_us: u64,
}

/// How statements for one database are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabaseConfig {
    /// Database name that callers connect to.
    pub name: Bytes,
    /// Name of the replica set that stores the database.
    pub replica_set: Bytes,
    /// Which replicas may serve its reads.
    pub read_policy: ReadPolicy,
    /// Timeout of a statement, from its arrival to its answer.
    pub statement_timeout_us: u64,
    /// Target latency. An operation that exceeds it loses value, so statements that can still meet
    /// it are served before those that cannot.
    pub target_latency_us: u64,
    /// Priority of the database's requests; 0 is the most urgent.
    pub rank: u8,
}

/// Settings of one replica set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSetConfig {
    /// Name that instance entries and databases refer to.
    pub name: Bytes,
    /// Most connections that one instance accepts, over all proxies together.
    pub connections_limit: u32,
    /// Number of replicas that must have received a commit before it is acknowledged; 0 for
    /// asynchronous replication.
    pub sync_replicas: u32,
}
