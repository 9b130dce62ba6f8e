//! Addresses of HTTP services.

use core::net::SocketAddr;

use derive_more::Display;

use super::{Address, ValueKind};

/// Address of an HTTP service. Processes communicate by IP number, so there is no host name.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("http://{address}")]
pub struct ServiceUrl {
    /// Address of the service.
    pub address: SocketAddr,
}

impl ServiceUrl {
    /// Reads `http://IP:PORT`; `None` for anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("http://")?;
        let address = Address::CONNECT.parse(rest.strip_suffix('/').unwrap_or(rest))?;
        Some(Self { address })
    }
}
