//! Errors that abort a benchmark run.

use std::io;

use displaydoc::Display;

/// Error that aborts a benchmark run.
#[derive(Debug, Display)]
pub enum BenchError {
    /// {operation}: {error}
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// Error that the operating system or a library returned.
        error: io::Error,
    },
    /// timed out after {timeout_s} s waiting for {awaited}: {last_error}
    TimedOut {
        /// Condition that was awaited.
        awaited: &'static str,
        /// Timeout in seconds.
        timeout_s: u64,
        /// Why the last attempt failed.
        last_error: String,
    },
    /// unexpected result of {operation}: {found}
    Unexpected {
        /// Operation that was run.
        operation: &'static str,
        /// Debug form of the result.
        found: String,
    },
    /// the run was interrupted
    Interrupted,
}

impl std::error::Error for BenchError {}

impl BenchError {
    /// Returns a function that adds the failed operation to an I/O error.
    pub(crate) fn io(operation: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::Io { operation, error }
    }
}
