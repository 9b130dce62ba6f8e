//! Services.

use super::{Durability, Rank};
use crate::RankIndex;

/// A named group of databases with common rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: String,
    /// When a write is acknowledged.
    pub durability: Durability,
    /// Greatest age of data that a read may see unless the caller asks for less; 0 allows no stale
    /// reads.
    pub max_staleness_us: u64,
    /// Ranks, the most urgent first.
    pub ranks: Vec<Rank>,
    /// Rank of callers that name none.
    pub default_rank: RankIndex,
    /// Requests that wait per rank and database, a bound on memory.
    pub queue_limit: u32,
    /// Callers per proxy.
    pub callers_limit: u32,
    /// Greatest size of a request.
    pub max_request_bytes: u32,
    /// Greatest size of an answer, which the proxy holds whole before it passes it on.
    pub max_answer_bytes: u32,
    /// Time after which an idle transaction is rolled back.
    pub idle_transaction_us: u64,
}

impl Service {
    /// Finds a rank by name.
    #[must_use]
    pub fn rank_named(&self, name: &str) -> Option<RankIndex> {
        let index = self.ranks.iter().position(|rank| rank.name == name)?;
        Some(RankIndex(u8::try_from(index).expect("at most 255 ranks")))
    }

    /// The rank at an index.
    #[must_use]
    pub fn rank(&self, index: RankIndex) -> Option<&Rank> {
        self.ranks.get(usize::from(index.0))
    }
}
