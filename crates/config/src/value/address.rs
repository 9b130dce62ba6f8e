//! Socket addresses.

use core::net::SocketAddr;

use super::ValueKind;

/// An IP address with a port. Multicast addresses and port 0 are invalid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Address {
    /// Whether the unspecified address, which stands for all interfaces, is allowed.
    pub(crate) allow_unspecified: bool,
}

impl Address {
    /// An address to listen on.
    pub(crate) const LISTEN: Self = Self { allow_unspecified: true };
    /// An address to connect to.
    pub(crate) const CONNECT: Self = Self { allow_unspecified: false };
}

impl ValueKind for Address {
    type Value = SocketAddr;

    fn parse(&self, text: &str) -> Option<SocketAddr> {
        let address: SocketAddr = text.parse().ok()?;
        let usable = self.allow_unspecified || !address.ip().is_unspecified();
        (usable && address.port() != 0 && !address.ip().is_multicast()).then_some(address)
    }

    fn allowed(&self) -> String {
        if self.allow_unspecified {
            "IP:PORT with an IP number and a port from 1 to 65535".to_owned()
        } else {
            "IP:PORT with the IP number of a host and a port from 1 to 65535".to_owned()
        }
    }
}
