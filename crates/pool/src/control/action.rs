//! Outputs of the control machine.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use super::{PeerMessage, StoreCall};
use crate::{InstanceCall, PoolView};

/// Something for the I/O layer to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Calls the store.
    Store {
        /// The call.
        call: StoreCall,
        /// When the call is given up.
        deadline_us: u64,
    },
    /// Calls the promotion service. The connection is reset when the call is given up, so that
    /// nothing of it arrives later.
    Promote {
        /// The replica set.
        replica_set: Bytes,
        /// Instance that takes over.
        instance: Bytes,
        /// Fence of the claim.
        fencing_token: u64,
        /// When the call is given up.
        deadline_us: u64,
    },
    /// Sends a datagram to another proxy.
    Send {
        /// Where to.
        address: SocketAddr,
        /// What.
        message: PeerMessage,
    },
    /// Has the traffic thread call an instance.
    Call(InstanceCall),
    /// Tells the traffic thread what to believe.
    Publish(Arc<PoolView>),
    /// Has the traffic thread probe the primary of a replica set.
    ProbePrimary {
        /// The replica set.
        replica_set: Bytes,
    },
    /// Changes the answer to the balancer's question.
    SetReady(bool),
    /// Has the traffic thread end its sessions.
    StopTraffic {
        /// From when on sessions without an open transaction are closed.
        close_idle_us: u64,
        /// When open transactions are rolled back.
        abort_us: u64,
    },
    /// Ends the process.
    Exit,
}
