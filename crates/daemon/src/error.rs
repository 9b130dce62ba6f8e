//! Fatal errors of the daemon.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Reason why the daemon could not start or had to stop.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address} for {purpose}: {error}
    Listen {
        /// Clients that the address is for, such as callers.
        purpose: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// cannot start {part}: {error}
    Start {
        /// Component that could not be started.
        part: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
    /// {0}
    Settings(flamingorock_jardinet::SettingsError),
    /// {thread} stopped unexpectedly
    ThreadEnded {
        /// Name of the thread for messages, such as "a traffic thread".
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
    /// Returns a conversion of an I/O error to [`DaemonError::Start`] for a component.
    pub(crate) fn starting(part: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |error| Self::Start { part, error }
    }
}
