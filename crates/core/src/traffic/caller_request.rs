//! Requests of callers.

use bytes::Bytes;

use crate::{RankIndex, StatementKind};

/// A request as the front end hands it over.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// What the request may do.
    pub kind: StatementKind,
    /// Rank in force for the caller.
    pub rank: RankIndex,
    /// Age of data that a read may see; 0 for a read of the newest data. Capped by the service's rule.
    pub max_staleness_us: u64,
    /// When the request is given up; `None` for the deadline of the rank.
    pub deadline_us: Option<u64>,
    /// The request in the encoding of the front end. Opaque to the decision core.
    pub payload: Bytes,
}
