//! Whether a replica is eligible for reads.

use derive_more::Display;

/// Whether a replica is eligible for reads, and if not, why.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum ReplicaState {
    /// No connection or no position of the primary yet, so the lag is unknown.
    #[default]
    #[display("unknown")]
    Unknown,
    /// The replica is eligible for reads.
    #[display("used")]
    Used,
    /// The replica lags by more than any database of its set allows.
    #[display("behind")]
    Behind,
    /// Statements fail too often at the replica.
    #[display("failing")]
    Failing,
    /// The replica does not respond or cannot be reached.
    #[display("silent")]
    Silent,
    /// The replica is about to shut down.
    #[display("leaving")]
    Leaving,
}
