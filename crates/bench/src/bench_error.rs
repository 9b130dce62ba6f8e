//! Errors that end a run.

use std::io;

use displaydoc::Display;

/// Error that ends a run.
#[derive(Debug, Display)]
pub enum BenchError {
    /// {what}: {error}
    Io {
        /// What was attempted.
        what: &'static str,
        /// Error of the system.
        error: io::Error,
    },
    /// {what} did not happen within {limit_s} s: {last}
    TimedOut {
        /// What was waited for.
        what: &'static str,
        /// Limit of the wait.
        limit_s: u64,
        /// Result of the last attempt.
        last: String,
    },
    /// unexpected answer to {what}: {found}
    Unexpected {
        /// What was sent.
        what: &'static str,
        /// What came back.
        found: String,
    },
    /// the run was interrupted
    Interrupted,
}

impl std::error::Error for BenchError {}

impl BenchError {
    /// Adds what was attempted to an error of the system.
    pub(crate) fn io(what: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::Io { what, error }
    }
}
