//! Planned transfers of a primary or of an ownership.

/// A planned transfer. While it lasts, the database admits no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Transfer {
    /// The primary moves to the target instance.
    Switchover {
        target: u8,
        /// Deadline of the current step: for open transactions to finish, then for the target to
        /// catch up.
        deadline_us: u64,
        /// When the traffic threads had finished all work, if they have.
        quiescent_at_us: Option<u64>,
    },
    /// The ownership moves to the standby.
    Handover { deadline_us: u64, quiescent: bool, next_offer_us: u64 },
}
