//! Messages between proxies.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::Term;
use serde::{Deserialize, Serialize};

use super::PromotionRecord;
use crate::InstanceEntry;

/// A message between two proxies, one datagram each.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// A promotion record that the receiver may not have seen yet.
    Record {
        /// The replica set.
        replica_set: Bytes,
        /// The record.
        record: PromotionRecord,
    },
    /// A primary that the sender has found and that no promotion record names.
    Primary {
        /// The replica set.
        replica_set: Bytes,
        /// The instance that leads.
        instance: Bytes,
        /// Its term.
        term: Term,
    },
    /// The sender, who holds a claim, is about to promote an instance.
    Promoting {
        /// The replica set.
        replica_set: Bytes,
        /// Fence of the claim.
        fencing_token: u64,
        /// The instance.
        instance: Bytes,
    },
    /// The instances of a replica set, for a proxy that lacks the store.
    Instances {
        /// The replica set.
        replica_set: Bytes,
        /// Their entries.
        entries: Vec<InstanceEntry>,
    },
    /// The sender has stopped using the primary that a claim replaces.
    StopAck {
        /// The sender.
        from: Bytes,
        /// The replica set.
        replica_set: Bytes,
        /// Fence of the claim.
        fencing_token: u64,
        /// Last position that the sender saw at the old primary, as term and number.
        position: Option<flamingorock_core::Position>,
        /// Proxies that the sender is not in contact with.
        silent_peers: Vec<SilentPeer>,
    },
}

/// A proxy that another one does not hear.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilentPeer {
    /// The proxy that is silent.
    pub proxy: Bytes,
    /// Time since it was last heard.
    pub silent_ms: u32,
}

/// Sign of life of a proxy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub from: Bytes,
    /// Address at which the sender is reached.
    pub address: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Rises with each heartbeat of the sender.
    pub sequence: u64,
    /// Highest sequence that the sender has from the receiver's present incarnation, 0 for none.
    pub echo: u64,
    /// Newest configuration that the sender has.
    pub configuration_version: u64,
    /// Whether the store does not answer the sender.
    pub lacks_store: bool,
    /// What the sender believes of the primaries.
    pub sets: Vec<ReplicaSetReport>,
}

/// What a proxy believes of a replica set's primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaSetReport {
    /// The replica set.
    pub replica_set: Bytes,
    /// Highest fence that the sender knows.
    pub fencing_token: u64,
    /// Term of the primary.
    pub term: Term,
    /// Time since the primary's last sign of life.
    pub heard_age_ms: u32,
    /// Whether the sender cannot reach the primary.
    pub is_lost: bool,
}
