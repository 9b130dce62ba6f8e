//! Inputs of the control machine.

use bytes::Bytes;

use super::{PeerMessage, PromotionOutcome, StoreAnswer};
use crate::traffic::Report;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store has answered a call.
    Store(Box<StoreAnswer>),
    /// A promotion call has ended.
    Promotion {
        /// The replica set.
        replica_set: Bytes,
        /// Fence of the call.
        fencing_token: u64,
        /// What came of it.
        outcome: PromotionOutcome,
    },
    /// Another proxy has sent a message.
    Peer(PeerMessage),
    /// An observation of the traffic machine.
    Report(Report),
    /// The process is told to stop.
    Stop,
}
