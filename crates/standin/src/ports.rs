//! Free ports for processes that tests and demos start.

use std::fs::{self, File};
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::{env, process};

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
    static RESERVATIONS: Mutex<Vec<File>> = Mutex::new(Vec::new());
    for _ in 0..COUNT {
        let offset = OFFSET.fetch_add(1, Ordering::Relaxed);
        let start = process::id().wrapping_mul(97) % u32::from(COUNT);
        let port = FIRST + ((start + u32::from(offset)) % u32::from(COUNT)) as u16;
        let Some(reservation) = reserve(port) else { continue };
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner).push(reservation);
            return port;
        }
    }
    panic!("no free port");
}

/// File that a process locks while it holds a port.
#[must_use]
pub fn reservation_path(port: u16) -> PathBuf {
    env::temp_dir().join("flamingorock-ports").join(port.to_string())
}

/// Locks the file of a port, unless another process has. The system releases the lock when the
/// process ends, however it does.
fn reserve(port: u16) -> Option<File> {
    let path = reservation_path(port);
    fs::create_dir_all(path.parent()?).ok()?;
    let file = File::create(path).ok()?;
    file.try_lock().ok()?;
    Some(file)
}
