//! Settings of a service.

use super::{Durability, Rank};
use crate::RankIndex;

/// A named group of databases that share their settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: String,
    /// Condition under which writes are acknowledged.
    pub durability: Durability,
    /// Maximum age of the data that a read may return; callers can only ask for less. 0 disables
    /// stale reads.
    pub max_staleness_us: u64,
    /// Ranks, most urgent first.
    pub ranks: Vec<Rank>,
    /// Rank of callers that select none.
    pub default_rank: RankIndex,
    /// Maximum number of queued requests per rank and database, which bounds memory.
    pub queue_limit: u32,
    /// Maximum number of connected callers of the service at a proxy. Each traffic thread applies
    /// it to its own callers only.
    pub callers_limit: u32,
    /// Maximum size of a request in bytes.
    pub max_request_bytes: u32,
    /// Maximum size of a response in bytes. The proxy buffers a response in full before forwarding
    /// it.
    pub max_answer_bytes: u32,
    /// Time after which an idle open transaction is rolled back.
    pub idle_transaction_us: u64,
}

impl Service {
    /// Looks up a rank by its name.
    #[must_use]
    pub fn rank_named(&self, name: &str) -> Option<RankIndex> {
        let index = self.ranks.iter().position(|rank| rank.name == name)?;
        Some(RankIndex(u8::try_from(index).expect("at most 255 ranks")))
    }

    /// The rank at an index, or `None` if the service has fewer ranks.
    #[must_use]
    pub fn rank(&self, index: RankIndex) -> Option<&Rank> {
        self.ranks.get(usize::from(index.0))
    }
}
