//! Planned changes.

/// A planned change under which a database admits no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Transfer {
    /// The primary moves to a target instance.
    Switchover {
        target: u8,
        /// When the change goes on or is given up.
        deadline_us: u64,
        /// When the traffic threads had nothing running any more.
        quiescent_at_us: Option<u64>,
    },
    /// The database goes to its standby.
    Handover { deadline_us: u64, quiescent: bool, next_offer_us: u64 },
}
