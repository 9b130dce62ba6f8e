//! Kinds of replacements.

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeoverKind {
    /// It is lost.
    Lost,
    /// It works and will stop.
    Leaving,
    /// It works, and another instance would serve better. It goes on if none has received everything.
    Relief,
}

impl TakeoverKind {
    /// Whether the old primary works, so that open transactions may end first.
    pub fn is_planned(self) -> bool {
        self != Self::Lost
    }
}
