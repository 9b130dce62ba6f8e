//! Rules for reads.

/// Which log positions a database's reads may be served from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadPolicy {
    /// Reads see every commit that was acknowledged before they began.
    Primary,
    /// Reads may miss commits that were acknowledged less than this before they began.
    BoundedStaleness {
        /// Largest age of what a read may miss.
        max_staleness_us: u64,
    },
    /// As `BoundedStaleness`, and reads see every commit of their own session.
    ReadYourWrites {
        /// Largest age of what a read may miss.
        max_staleness_us: u64,
    },
}

impl ReadPolicy {
    /// Largest age of what a read may miss, `None` if replicas serve no reads.
    #[must_use]
    pub fn max_staleness_us(self) -> Option<u64> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness { max_staleness_us }
            | Self::ReadYourWrites { max_staleness_us } => Some(max_staleness_us),
        }
    }
}
