//! Failures of the demo job.

use std::io;

use derive_more::Error;
use displaydoc::Display;

/// Why the demo job ended early, or that its result is wrong.
#[derive(Debug, Display, Error)]
pub enum DemoError {
    /// {what}: {error}
    Io {
        /// What was to be done.
        what: String,
        /// Cause.
        error: io::Error,
    },
    /// flamingoctl failed: {output}
    Apply {
        /// What it printed.
        #[error(not(source))]
        output: String,
    },
    /// a database failed: {0}
    Database(postgres::Error),
    /// {what} did not come in time; last seen: {seen}
    TooLate {
        /// Awaited state.
        what: String,
        /// What the last look showed.
        seen: String,
    },
    /// interrupted by a signal
    Interrupted,
    /// an acknowledged write is lost or doubled, or an answer was wrong
    Incorrect,
}

impl DemoError {
    /// Adds what was to be done to an I/O error.
    pub(super) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |error| Self::Io { what, error }
    }
}
