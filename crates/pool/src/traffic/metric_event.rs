//! Ends of statements and other events, for the metrics.

use bytes::Bytes;

use crate::ErrorCode;

/// Something that is counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MetricEvent {
    /// A statement was served.
    Served {
        /// Its database.
        database: Bytes,
        /// Whether the primary served it.
        by_primary: bool,
        /// Time from its arrival.
        latency_us: u64,
    },
    /// A statement ended with an error.
    Failed {
        /// Its database.
        database: Bytes,
        /// The error.
        code: ErrorCode,
    },
    /// A statement was sent again after a refusal or a loss.
    Retried,
    /// A connection to an instance was opened.
    ConnectionOpened,
    /// An instance was probed.
    Probed,
}
