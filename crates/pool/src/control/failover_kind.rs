//! Kinds of replacements.

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailoverKind {
    /// It is lost.
    PrimaryLost,
    /// It works and will stop.
    PrimaryLeaving,
    /// It works, and another instance would serve better. It goes on if none has received everything.
    ReplicasLagging,
}

impl FailoverKind {
    /// Whether the old primary works, so that open transactions may end first.
    pub fn is_planned(self) -> bool {
        self != Self::PrimaryLost
    }
}
