//! Statements that the proxy answers without a backend server.

use std::sync::Arc;

use super::Setting;

/// A statement that the proxy answers without a backend server. Values have been checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LocalStatement {
    /// No statement at all.
    Empty,
    /// `SET` to a value that is in force anyway or has no effect.
    Ignored,
    /// `SET flamingorock.rank`
    SetRank(Arc<str>),
    /// `SET flamingorock.max_staleness_ms`
    SetMaxStaleness(u32),
    /// `SET flamingorock.deadline_ms`; `None` for the deadline of the rank.
    SetDeadline(Option<u32>),
    /// `SET application_name`
    SetApplicationName(Arc<str>),
    /// `RESET` of one setting, or `SET` to `DEFAULT`.
    Reset(Setting),
    /// `RESET ALL`
    ResetAll,
    /// `SHOW` of one setting.
    Show(Setting),
    /// `DISCARD ALL`
    DiscardAll,
    /// `DEALLOCATE ALL`
    DeallocateAll,
}

impl LocalStatement {
    /// Command tag of the answer; `None` for the empty statement, which has none.
    #[must_use]
    pub fn tag(&self) -> Option<&'static str> {
        match self {
            Self::Empty => None,
            Self::Reset(_) | Self::ResetAll => Some("RESET"),
            Self::Show(_) => Some("SHOW"),
            Self::DiscardAll => Some("DISCARD ALL"),
            Self::DeallocateAll => Some("DEALLOCATE ALL"),
            _ => Some("SET"),
        }
    }
}
