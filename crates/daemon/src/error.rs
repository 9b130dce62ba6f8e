//! Errors that keep the daemon from running.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Why the daemon could not start or had to stop.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address} for {purpose}: {error}
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the system.
        error: io::Error,
    },
    /// cannot start {part}: {error}
    Start {
        /// What could not be started.
        part: &'static str,
        /// Error of the system.
        error: io::Error,
    },
    /// {0}
    Settings(flamingorock_jardinet::SettingsError),
    /// {thread} stopped unexpectedly
    ThreadEnded {
        /// The thread.
        thread: &'static str,
    },
}

impl std::error::Error for DaemonError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { error, .. } | Self::Start { error, .. } => Some(error),
            Self::Settings(error) => Some(error),
            Self::ThreadEnded { .. } => None,
        }
    }
}

impl DaemonError {
    /// Adds the part that could not be started to an error of the system.
    pub(crate) fn starting(part: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |error| Self::Start { part, error }
    }
}
