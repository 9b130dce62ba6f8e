//! Free ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;

/// Ports below those that the system gives to outgoing connections, so that none of these takes a
/// port between the check and its use.
const FIRST: u16 = 12_000;
const COUNT: u16 = 18_000;

/// Addresses of loopback that are free for TCP and UDP. Each process starts its search elsewhere.
pub(super) fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let start = process::id().wrapping_mul(97) % u32::from(COUNT);
    let port = |offset: u16| FIRST + ((start + u32::from(offset)) % u32::from(COUNT)) as u16;
    let addresses = (0..COUNT).map(|offset| SocketAddr::from((Ipv4Addr::LOCALHOST, port(offset))));
    let is_free = |address: &SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    let found: Vec<_> = addresses.filter(is_free).take(count).collect();
    if found.len() == count { Ok(found) } else { Err(io::ErrorKind::AddrInUse.into()) }
}
