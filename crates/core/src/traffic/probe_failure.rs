//! Probe failures.

use derive_more::Display;

/// Why a probe of an instance returned no report.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProbeFailure {
    /// The connection was refused or broke.
    #[display("connection lost")]
    ConnectionLost,
    /// The instance did not respond before the probe's deadline.
    #[display("timeout")]
    Timeout,
}
