//! Status reports of database instances.

use crate::{InstanceRole, Position, Term};

/// What an instance says of itself in answer to a status, fencing, promotion or follow call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceReport {
    /// Highest term that the instance has accepted; it refuses calls and log entries of lower terms.
    pub accepted_term: Term,
    /// Term and number of the last entry in the instance's log.
    pub position: Position,
    /// Role that the instance believes it has.
    pub role: InstanceRole,
    /// Age of the last message from the primary; `None` for a primary or before the first message.
    pub primary_heard_ms: Option<u64>,
    /// Whether the call was accepted. `false` means that its term was too low.
    pub accepted: bool,
}
