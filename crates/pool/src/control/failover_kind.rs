//! Kinds of failovers.

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailoverKind {
    /// The primary is unreachable or unknown.
    PrimaryUnreachable,
    /// Switchover: the primary works but is about to stop.
    PrimaryLeaving,
    /// Switchover: the primary works, but another instance would serve better. The primary stays if
    /// no candidate has received all of its commits.
    ReplicasLagging,
}

impl FailoverKind {
    /// Whether this is a switchover: the old primary works, so that open transactions may finish
    /// first.
    pub fn is_planned(self) -> bool {
        self != Self::PrimaryUnreachable
    }
}
