//! Free ports for processes that tests and demos start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// Ports below those that the system gives to outgoing connections, so that none of these takes a
/// port between the check and its use.
const FIRST: u16 = 12_000;
const COUNT: u16 = 18_000;

/// Reserves a loopback port that is free for TCP and UDP, for a process that is about to be
/// started. The port is reserved until the calling process ends, so that no test beside it gets the
/// same one before the started process has opened it.
///
/// # Panics
///
/// No port is free.
#[must_use]
pub fn free_port() -> u16 {
    static OFFSET: AtomicU16 = AtomicU16::new(0);
    static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    for _ in 0..COUNT {
        let offset = OFFSET.fetch_add(1, Ordering::Relaxed);
        let start = process::id().wrapping_mul(97) % u32::from(COUNT);
        let port = FIRST + ((start + u32::from(offset)) % u32::from(COUNT)) as u16;
        let Ok(reservation) = TcpListener::bind(reservation_address(port)) else { continue };
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner).push(reservation);
            return port;
        }
    }
    panic!("no free port");
}

/// Address at which a process listens while it holds a port. It is a loopback address that nothing
/// else uses. Unlike a file it leaves nothing behind, however the process ends.
#[must_use]
pub fn reservation_address(port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 0, 2), port).into()
}
