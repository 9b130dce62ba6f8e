//! Search for free ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;

/// Start of the searched range. The range ends below the default ephemeral ports, so that no
/// outgoing connection takes a port between the check and its use.
const FIRST_PORT: u16 = 12_000;
/// Size of the searched range.
const PORT_COUNT: u16 = 18_000;

/// Returns loopback addresses whose ports are free for TCP and UDP. The search starts at an offset
/// that depends on the process id, so that concurrent runs rarely find the same ports.
pub(super) fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let start = process::id().wrapping_mul(97) % u32::from(PORT_COUNT);
    let port =
        |offset: u16| FIRST_PORT + ((start + u32::from(offset)) % u32::from(PORT_COUNT)) as u16;
    let addresses =
        (0..PORT_COUNT).map(|offset| SocketAddr::from((Ipv4Addr::LOCALHOST, port(offset))));
    let is_free = |address: &SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    let found: Vec<_> = addresses.filter(is_free).take(count).collect();
    if found.len() == count { Ok(found) } else { Err(io::ErrorKind::AddrInUse.into()) }
}
