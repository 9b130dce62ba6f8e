//! What the control thread remembers of a call in flight.

use bytes::Bytes;
use flamingorock_pool::control::StoreCall;

/// Identifies an outgoing HTTP call when its outcome is passed to the state machine.
#[derive(Debug)]
pub enum CallContext {
    Store { call: StoreCall, sent_us: u64 },
    Promotion { replica_set: Bytes, fencing_token: u64 },
}

impl CallContext {
    /// Whether the call is a watch of the store.
    pub fn is_watch(&self) -> bool {
        matches!(self, Self::Store { call: StoreCall::Watch { .. }, .. })
    }

    /// Whether the call promotes an instance under a claim.
    pub fn is_promotion(&self, replica_set: &Bytes, fencing_token: u64) -> bool {
        match self {
            Self::Store { .. } => false,
            Self::Promotion { replica_set: own, fencing_token: token } => {
                own == replica_set && *token == fencing_token
            }
        }
    }
}
