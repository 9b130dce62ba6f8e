//! Requests of callers.

use bytes::Bytes;

use crate::{RankIndex, StatementKind};

/// A request as the front end passes it to the traffic machine.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Kind of the statement.
    pub kind: StatementKind,
    /// Rank that the caller has selected, or the service's default.
    pub rank: RankIndex,
    /// Maximum age of the data that a read may return; 0 requires current data. The service's
    /// `max_staleness_us` caps it.
    pub max_staleness_us: u64,
    /// Deadline that the caller has set; `None` for the default of the rank.
    pub deadline_us: Option<u64>,
    /// The request in the front end's encoding. The traffic machine does not interpret it.
    pub payload: Bytes,
}
