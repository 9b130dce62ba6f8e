//! Requests of callers.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::StatementKind;

/// A request that a backend server has to run. The daemon turns it into a
/// [`flamingorock_core::traffic::CallerRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// What the request may do.
    pub kind: StatementKind,
    /// Messages for a backend server, with exactly one `Query` or `Sync` at the end.
    pub payload: Bytes,
    /// Name of the rank in force; `None` for the default rank of the service.
    pub rank: Option<Arc<str>>,
    /// Age of data that a read may see; `None` for the rule of the service.
    pub max_staleness_ms: Option<u32>,
    /// Time after which the request is given up; `None` for the deadline of the rank.
    pub deadline_ms: Option<u32>,
}
