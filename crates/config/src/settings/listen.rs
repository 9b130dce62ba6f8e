//! The `[listen]` section of the settings file.

use core::net::SocketAddr;

use crate::section_reader::SectionReader;
use crate::value::Address;

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for callers: PostgreSQL protocol over TCP.
    pub callers: SocketAddr,
    /// Address for other proxies: TCP and UDP on the same port.
    pub peers: SocketAddr,
    /// Address for metrics and admin requests over HTTP.
    pub admin: SocketAddr,
}

impl ListenSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let callers = reader.required("callers", &Address::LISTEN);
        let peers = reader.required("peers", &Address::LISTEN);
        let admin = reader.required("admin", &Address::LISTEN);
        let listen = Self { callers: callers?, peers: peers?, admin: admin? };
        let pairs = [
            ("peers", listen.peers, "callers", listen.callers),
            ("admin", listen.admin, "callers", listen.callers),
            ("admin", listen.admin, "peers", listen.peers),
        ];
        for (key, address, other_key, other) in pairs {
            if addresses_conflict(address, other) {
                let found = format!("\"{address}\", which clashes with the key {other_key}");
                reader.error(key, &found, "an address that no other key has");
            }
        }
        Some(listen)
    }
}

/// Returns whether two listening sockets on one host would conflict. The unspecified address covers
/// all interfaces and so conflicts with every address on the same port.
fn addresses_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && same_ip
}
