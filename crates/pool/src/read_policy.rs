//! Consistency of reads.

/// Which commits a read of a database must see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadPolicy {
    /// Reads see every commit that was acknowledged before the read began.
    Primary,
    /// Reads see every commit that was acknowledged at least `max_staleness_us` before the read
    /// began.
    BoundedStaleness {
        /// Age from which an acknowledged commit must be visible.
        max_staleness_us: u64,
    },
    /// Like `BoundedStaleness`, and reads also see every earlier commit of the same session.
    ReadYourWrites {
        /// Age from which another session's acknowledged commit must be visible.
        max_staleness_us: u64,
    },
}

impl ReadPolicy {
    /// The staleness bound; `None` if only the primary may serve reads.
    #[must_use]
    pub fn max_staleness_us(self) -> Option<u64> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness { max_staleness_us }
            | Self::ReadYourWrites { max_staleness_us } => Some(max_staleness_us),
        }
    }
}
