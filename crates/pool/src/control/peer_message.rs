//! Messages between proxies.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_core::{Position, Term};
use serde::{Deserialize, Serialize};

use super::{MembershipRecord, PromotionRecord};
use crate::InstanceEntry;

/// A message from one proxy to another, sent as one datagram. Encoded by position: the order of
/// variants and fields is part of the format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Periodic heartbeat.
    Heartbeat(Heartbeat),
    /// A promotion record that the receiver may lack.
    Record {
        /// Replica set that the record belongs to.
        replica_set: Bytes,
        /// The newest record that the sender knows.
        record: PromotionRecord,
    },
    /// A primary that the sender has discovered and that no promotion record names.
    Primary {
        /// Replica set of the primary.
        replica_set: Bytes,
        /// Id of the primary.
        instance: Bytes,
        /// Term of the primary.
        term: Term,
    },
    /// The sender holds a claim and is about to send the promotion call.
    Promoting {
        /// Replica set whose primary is replaced.
        replica_set: Bytes,
        /// Fencing token of the claim.
        fencing_token: u64,
        /// Instance that is promoted.
        instance: Bytes,
        /// Term that it must exceed before it counts as the new primary.
        former_term: Term,
    },
    /// The instances of a replica set, for a proxy that cannot reach the store.
    Instances {
        /// Replica set of the instances.
        replica_set: Bytes,
        /// Entries of the instances as the store has them.
        entries: Vec<InstanceEntry>,
    },
    /// The sender has stopped using the primary that a claim replaces.
    StopAck {
        /// Name of the sender.
        from: Bytes,
        /// Replica set of the claim.
        replica_set: Bytes,
        /// Fencing token of the claim.
        fencing_token: u64,
        /// Last log position that the sender observed at the old primary, if any.
        position: Option<Position>,
        /// Epoch of the membership that the sender knows.
        epoch: u64,
        /// Members that the sender is out of contact with.
        silent_peers: Vec<SilentPeer>,
    },
}

/// A proxy that the sender of a message is out of contact with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilentPeer {
    /// Name of the silent proxy.
    pub proxy: Bytes,
    /// Time since the sender's last heartbeat from it, or since the sender's start.
    pub silent_ms: u32,
}

/// Heartbeat of a proxy. It also carries what the sender knows about the primaries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub from: Bytes,
    /// Address at which the sender receives datagrams.
    pub address: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number, higher than those of the sender's earlier heartbeats.
    pub sequence: u64,
    /// Highest sequence number that the sender has received from the receiver's current
    /// incarnation, 0 if none or if the sender has not read the store yet.
    pub echo: u64,
    /// Version of the sender's configuration.
    pub configuration_version: u64,
    /// Whether the sender cannot reach the store.
    pub is_store_unreachable: bool,
    /// Epoch of the membership that the sender knows, 0 if it knows none.
    pub epoch: u64,
    /// The membership, if the receiver seems to lack it.
    pub membership: Option<MembershipRecord>,
    /// Age of the sender's knowledge that no later membership exists.
    pub membership_age_ms: u32,
    /// Highest revision of an item of the store that the sender has read.
    pub store_revision: u64,
    /// The replica sets that have changed since the version that the receiver has confirmed, and
    /// those in trouble.
    pub reports: Vec<ReplicaSetReport>,
    /// Version of the sender's knowledge that the reports start from. A receiver that lacks it lacks
    /// other reports too.
    pub sets_base_version: u64,
    /// Version of the sender's knowledge of the replica sets that the receiver has after this
    /// heartbeat, if it has the one that the reports start from.
    pub sets_version: u64,
    /// Highest such version that the sender has received from the receiver's current incarnation,
    /// 0 if none.
    pub sets_version_echo: u64,
    /// A position that the sender has seen lately, of one replica set at a time.
    pub sample: Option<PositionSample>,
}

/// Position of a primary's log that the sender has seen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PositionSample {
    /// Name of the replica set.
    pub replica_set: Bytes,
    /// Term of the primary.
    pub term: Term,
    /// Position of its log.
    pub position: Position,
    /// Time since the primary was asked, rounded up.
    pub age_ms: u32,
}

/// What a proxy knows about a replica set's primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaSetReport {
    /// Name of the replica set.
    pub replica_set: Bytes,
    /// Highest fencing token that the proxy knows.
    pub fencing_token: u64,
    /// Term of the primary, 0 if the proxy knows no primary.
    pub term: Term,
    /// Time since the proxy last had contact with the primary.
    pub primary_silent_ms: u32,
    /// Whether the proxy cannot reach the primary.
    pub is_primary_unreachable: bool,
}
