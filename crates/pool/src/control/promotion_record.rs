//! Promotion records in the store.

use bytes::Bytes;
use flamingorock_core::Term;
use serde::{Deserialize, Serialize};

/// State of a replica set's last failover. A proxy writes it on the condition that the previous
/// record is unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromotionRecord {
    /// Fencing token: one higher with each claim, and sent with each promotion call.
    pub fencing_token: u64,
    /// Name of the proxy that holds the claim.
    pub holder: Bytes,
    /// Incarnation of the holder. A restarted holder does not act on its earlier claim.
    pub holder_incarnation: u64,
    /// Progress of the failover.
    pub state: PromotionState,
}

/// Progress of a failover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PromotionState {
    /// The holder may promote an instance; no proxy may use the primary of `term`.
    Claimed {
        /// Term that ends with the failover.
        term: Term,
        /// Whether the old primary works, so that open transactions may finish first.
        is_planned: bool,
    },
    /// The failover is complete.
    Done {
        /// Id of the new primary.
        instance: Bytes,
        /// Term of the new primary.
        term: Term,
    },
}

impl PromotionState {
    /// Term that ends with the failover, or that has begun with it.
    #[must_use]
    pub fn term(&self) -> Term {
        match self {
            Self::Claimed { term, .. } | Self::Done { term, .. } => *term,
        }
    }
}

impl PromotionRecord {
    /// Key that orders records by age: by claim, and within a claim its completion comes last.
    #[must_use]
    pub fn order(&self) -> (u64, bool) {
        (self.fencing_token, matches!(self.state, PromotionState::Done { .. }))
    }

    /// Whether a failover is in progress.
    #[must_use]
    pub fn is_claimed(&self) -> bool {
        matches!(self.state, PromotionState::Claimed { .. })
    }
}
