//! Progress of a takeover or promotion.

/// Progress of the takeover or promotion of a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits until a majority of instances has accepted the term.
    Fencing {
        /// Since when no fencing has succeeded.
        since_us: u64,
        /// When a majority had accepted the term.
        majority_at_us: Option<u64>,
    },
    /// Waits for the answer of the promotion call.
    Promoting { index: u8 },
    /// The promotion call's answer was lost; status calls sent since then tell what came of it.
    Resolving { index: u8, since_us: u64 },
    /// Open for work.
    Open { primary: u8 },
}
