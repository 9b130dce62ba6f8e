//! Proxies without an answer.

use core::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;

/// A proxy that did not answer, so that a report lacks its part.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{proxy}: {reason}")]
pub struct MissingProxy {
    /// Admin port of the proxy.
    pub proxy: SocketAddr,
    /// Why there is no answer.
    pub reason: String,
}
