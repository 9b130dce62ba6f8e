//! Snapshot of the fleet that the control thread publishes to the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::Term;

use crate::Configuration;

/// What the control machine currently knows about the configuration and the replica sets.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    /// Sequence number; each published view has a higher one.
    pub sequence: u64,
    /// Newest configuration; version 0 if none has been read yet.
    pub configuration: Arc<Configuration>,
    /// The replica sets of the configuration.
    pub replica_sets: Vec<ReplicaSetView>,
    /// Number of proxies that share the instances, including this one.
    pub proxies: u32,
}

/// A replica set in a [`PoolView`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSetView {
    /// Name of the replica set in the configuration.
    pub name: Bytes,
    /// Registered instances of the replica set.
    pub instances: Vec<InstanceView>,
    /// State of the primary, which decides where writes go.
    pub primary: PrimaryView,
}

/// An instance in a [`ReplicaSetView`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceView {
    /// Identity; see [`InstanceEntry::id`](crate::InstanceEntry::id).
    pub id: Bytes,
    /// Start time of the instance, which tells a restart under the same id.
    pub started_unix_ms: u64,
    /// Address that accepts connections.
    pub address: SocketAddr,
    /// Data centre that the instance runs in.
    pub data_centre: Bytes,
    /// Number of statements that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance accepts no new work. A leaving primary still accepts it until the
    /// failover.
    pub is_leaving: bool,
}

/// State of a replica set's primary.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum PrimaryView {
    /// No primary is known.
    #[default]
    Unknown,
    /// The primary is in use.
    Serving {
        /// Id of the primary.
        instance: Bytes,
        /// Term of the primary; 0 while it is not known.
        term: Term,
    },
    /// This proxy cannot reach the primary, but other proxies can.
    ReachableByOthers {
        /// Id of the primary.
        instance: Bytes,
        /// Term of the primary.
        term: Term,
    },
    /// No proxy reaches the primary; nothing new is sent to it.
    Unreachable {
        /// Id of the primary.
        instance: Bytes,
        /// Term of the primary.
        term: Term,
        /// When the next primary is expected to serve.
        expected_us: u64,
    },
    /// A failover is in progress; nothing new is sent to the old primary.
    Replacing {
        /// Id of the old primary, if one was known.
        instance: Option<Bytes>,
        /// Term that ends with the failover.
        term: Term,
        /// Whether running statements and open transactions may still finish at the old primary.
        is_draining: bool,
        /// When the next primary is expected to serve.
        expected_us: u64,
    },
}
