//! URLs of HTTP services.

use core::net::SocketAddr;

use derive_more::Display;

use super::{Address, ValueKind};

/// URL of an HTTP service, `http://IP:PORT`. Host names are not supported, because processes
/// connect by IP address.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("http://{address}")]
pub struct ServiceUrl {
    /// IP address and port of the service.
    pub address: SocketAddr,
}

impl ServiceUrl {
    /// Parses `http://IP:PORT` with an optional `/` at the end. Returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("http://")?;
        let address = Address::CONNECT.parse(rest.strip_suffix('/').unwrap_or(rest))?;
        Some(Self { address })
    }
}
