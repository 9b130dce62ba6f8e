//! Status reported by database instances.

use crate::{InstanceRole, Position, Term};

/// Status that an instance returns from a status, fencing, promotion or follow call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceReport {
    /// Highest term that the instance has accepted. It rejects calls and log entries of lower
    /// terms.
    pub accepted_term: Term,
    /// Term and sequence number of the last entry in the instance's log.
    pub position: Position,
    /// Role that the instance reports for itself.
    pub role: InstanceRole,
    /// Time since the last message from the primary; `None` on a primary and before the first
    /// message.
    pub primary_heard_ms: Option<u64>,
    /// Whether the instance accepted the call; `false` if the call's term was too low.
    pub accepted: bool,
}
