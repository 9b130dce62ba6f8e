//! Free ports.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to outgoing connections, so that none of these takes a
/// port between the check and its use.
const FIRST: u16 = 12_000;
const COUNT: u16 = 18_000;

/// Finds a loopback port that is free for TCP and UDP, for a process that is about to be started.
/// Each process starts its search elsewhere.
///
/// # Panics
///
/// No port is free.
#[must_use]
pub fn free_port() -> u16 {
    static OFFSET: AtomicU16 = AtomicU16::new(0);
    for _ in 0..COUNT {
        let offset = OFFSET.fetch_add(1, Ordering::Relaxed);
        let start = process::id().wrapping_mul(97) % u32::from(COUNT);
        let port = FIRST + ((start + u32::from(offset)) % u32::from(COUNT)) as u16;
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
    panic!("no free port");
}
