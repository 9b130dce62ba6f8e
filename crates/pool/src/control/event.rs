//! Inputs of the control machine.

use bytes::Bytes;

use super::{PeerMessage, PromotionOutcome, StoreResponse};
use crate::traffic::Report;

/// An input of the control machine, applied at the next tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call to the store has ended.
    Store(Box<StoreResponse>),
    /// A promotion call has ended.
    Promotion {
        /// Replica set of the call.
        replica_set: Bytes,
        /// Fencing token that the call was sent with.
        fencing_token: u64,
        /// How the call ended.
        outcome: PromotionOutcome,
    },
    /// A datagram from another proxy has arrived.
    Peer(PeerMessage),
    /// The traffic machine reports an observation.
    Report(Report),
    /// The process has been told to stop.
    Stop,
}
