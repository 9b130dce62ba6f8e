//! What the control thread tells the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::Term;

use crate::Configuration;

/// The state of the world as the control machine believes it.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    /// Number of the view, rising.
    pub sequence: u64,
    /// Newest configuration; version 0 if none has been read yet.
    pub configuration: Arc<Configuration>,
    /// Replica sets.
    pub replica_sets: Vec<ReplicaSetView>,
    /// Proxies that share the instances, at least 1.
    pub proxies: u32,
}

/// One replica set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSetView {
    /// Name.
    pub name: Bytes,
    /// Its instances.
    pub instances: Vec<InstanceView>,
    /// Where writes go.
    pub primary: PrimaryView,
}

/// One instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceView {
    /// Identity.
    pub id: Bytes,
    /// Start of the instance.
    pub started_unix_ms: u64,
    /// Address for connections.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Bytes,
    /// Statements that run at a time.
    pub slots: u32,
    /// Whether it takes no new work, except as the primary until that is replaced.
    pub is_leaving: bool,
}

/// Where the writes of a replica set go.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum PrimaryView {
    /// No primary is known.
    #[default]
    Unknown,
    /// An instance leads.
    Serving {
        /// The instance.
        instance: Bytes,
        /// Its term; 0 if it has not been learnt yet.
        term: Term,
    },
    /// An instance leads that this proxy cannot reach while others can.
    ReachableByOthers {
        /// The instance.
        instance: Bytes,
        /// Its term.
        term: Term,
    },
    /// An instance leads that no proxy reaches: nothing new is sent there.
    Lost {
        /// The instance.
        instance: Bytes,
        /// Its term.
        term: Term,
        /// When the next primary is expected to serve.
        expected_us: u64,
    },
    /// The primary is being replaced: nothing new is sent there.
    Replacing {
        /// The primary that is replaced, if any. Its open transactions may end if `is_draining`.
        instance: Option<Bytes>,
        /// Term that is replaced.
        term: Term,
        /// Whether statements that run and transactions that are open may end.
        is_draining: bool,
        /// When the next primary is expected to serve.
        expected_us: u64,
    },
}
