//! Events that are counted in metrics.

use bytes::Bytes;

use crate::ErrorCode;

/// An event that is counted in a metric.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MetricEvent {
    /// A statement succeeded.
    Served {
        /// Database of the session.
        database: Bytes,
        /// Whether the serving instance was the primary.
        by_primary: bool,
        /// Time from the arrival of the statement to its reply.
        latency_us: u64,
    },
    /// A statement ended with an error.
    Failed {
        /// Database of the session.
        database: Bytes,
        /// Error that was reported to the caller.
        code: ErrorCode,
    },
    /// A statement was queued again after a refusal or the loss of its connection.
    Retried,
    /// A connection to an instance was started.
    ConnectionOpened,
    /// A probe was sent to an instance.
    Probed,
}
