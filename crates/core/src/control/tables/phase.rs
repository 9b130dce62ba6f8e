//! Phases of a promotion.

/// Phase of the promotion of a primary, after a takeover or the failure of the previous primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waiting for a majority of the instances to accept the term.
    Fencing {
        /// Start of the fencing; kept when fencing starts again under another term.
        since_us: u64,
        /// When a majority had accepted the term, if it has.
        majority_at_us: Option<u64>,
    },
    /// Waiting for the response to the promotion call.
    Promoting { index: u8 },
    /// The response to the promotion call was lost; status calls sent since then show whether the
    /// instance was promoted.
    Resolving { index: u8, since_us: u64 },
    /// The primary has been promoted and serves requests.
    Open { primary: u8 },
}
