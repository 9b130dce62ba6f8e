//! Outputs of the control machine.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::{Position, Term};

use super::{PeerMessage, StoreCall};
use crate::{InstanceCall, PoolView};

/// An operation that the I/O layer performs for the control machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a call to the store.
    Store {
        /// The call to send.
        call: StoreCall,
        /// When to abandon the call; its outcome is then unknown.
        deadline_us: u64,
    },
    /// Abandons the watch of the store, which another one replaces.
    AbandonWatch,
    /// Calls the promotion service. When the call is abandoned, its connection must be reset so
    /// that no part of the request arrives later.
    Promote {
        /// Replica set whose primary is replaced.
        replica_set: Bytes,
        /// Instance to promote.
        instance: Bytes,
        /// Fencing token of the claim, which orders promotion calls.
        fencing_token: u64,
        /// When to abandon the call.
        deadline_us: u64,
    },
    /// Abandons the promotion calls of a claim that another claim has replaced. Their connections
    /// must be reset.
    AbandonPromotion {
        /// Replica set whose primary is replaced.
        replica_set: Bytes,
        /// Fencing token of the replaced claim.
        fencing_token: u64,
    },
    /// Sends a datagram to another proxy.
    Send {
        /// Peer address of that proxy.
        address: SocketAddr,
        /// Message to encode.
        message: PeerMessage,
    },
    /// Has the traffic thread make a call to an instance.
    Call(InstanceCall),
    /// Publishes a new view to the traffic thread.
    Publish(Arc<PoolView>),
    /// Has the traffic thread probe the primary of a replica set.
    ProbePrimary {
        /// Replica set to probe.
        replica_set: Bytes,
    },
    /// Tells the traffic thread a position that another proxy has seen at a primary.
    PassPosition {
        /// Replica set of the primary.
        replica_set: Bytes,
        /// Term of the primary.
        term: Term,
        /// The position covers every commit acknowledged before this time.
        at_us: u64,
        /// Position of the primary's log.
        position: Position,
    },
    /// Sets the answer to the load balancer's readiness check.
    SetReady(bool),
    /// Has the traffic thread close its sessions.
    StopTraffic {
        /// When sessions without an open transaction start to be closed.
        close_idle_us: u64,
        /// When open transactions are rolled back.
        abort_us: u64,
    },
    /// Terminates the process.
    Exit,
}
