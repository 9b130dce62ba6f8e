//! Failures of probes.

use derive_more::Display;

/// Why a probe of an instance gave no report.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProbeFailure {
    /// The connection was refused or broke.
    #[display("connection lost")]
    ConnectionLost,
    /// No answer came in time.
    #[display("timeout")]
    Timeout,
}
