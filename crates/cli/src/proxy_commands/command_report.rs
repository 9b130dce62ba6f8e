//! Commands that a proxy took.

use core::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;

/// A command that a proxy took.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{proxy}: {done}")]
pub(crate) struct CommandReport {
    /// Admin port of the proxy.
    pub(crate) proxy: SocketAddr,
    /// What the proxy does.
    pub(crate) done: String,
}
