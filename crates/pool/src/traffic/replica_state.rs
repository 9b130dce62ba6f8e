//! Whether a replica takes reads.

use derive_more::Display;

/// Why a replica takes reads or does not.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum ReplicaState {
    /// Nothing is known yet.
    #[default]
    #[display("unknown")]
    Unknown,
    /// It takes reads.
    #[display("used")]
    Used,
    /// Its log is too old for the reads of its set.
    #[display("behind")]
    Behind,
    /// Its statements fail too often.
    #[display("failing")]
    Failing,
    /// It is silent or cannot be reached.
    #[display("silent")]
    Silent,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
}
