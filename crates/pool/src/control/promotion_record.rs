//! Records of promotions in the store.

use bytes::Bytes;
use flamingorock_core::Term;
use serde::{Deserialize, Serialize};

/// The last replacement of a replica set's primary. Written only under the condition that the
/// former record is unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromotionRecord {
    /// Number of the claim, rising by one with each. It goes with every promotion call.
    pub fencing_token: u64,
    /// Proxy that holds the claim.
    pub holder: Bytes,
    /// Incarnation of the holder. A restarted holder no longer acts on its claim.
    pub holder_incarnation: u64,
    /// How far it has come.
    pub state: PromotionState,
}

/// How far a replacement has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PromotionState {
    /// The holder may promote; nobody uses the primary of `term`.
    Claimed {
        /// Term that is replaced.
        term: Term,
        /// Whether the old primary works, so that open transactions may end first.
        is_planned: bool,
    },
    /// An instance leads.
    Done {
        /// The instance.
        instance: Bytes,
        /// Its term.
        term: Term,
    },
}

impl PromotionRecord {
    /// Order of records: a later claim is newer, and so is the end of a claim.
    #[must_use]
    pub fn order(&self) -> (u64, bool) {
        (self.fencing_token, matches!(self.state, PromotionState::Done { .. }))
    }

    /// Whether a replacement is under way.
    #[must_use]
    pub fn is_claimed(&self) -> bool {
        matches!(self.state, PromotionState::Claimed { .. })
    }
}
