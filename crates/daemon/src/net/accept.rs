//! Accepting connections.

use std::io::ErrorKind;

use mio::net::{TcpListener, TcpStream};

/// Delay before accepting is tried again after a failure for lack of file descriptors or memory.
/// The edge-triggered poll does not report the listener again for connections that are already
/// pending.
pub const ACCEPT_RETRY_US: u64 = 100_000;

/// Accepts all pending connections of a listener. Returns whether some may still be pending because
/// of a failure, so that accepting must be tried again after [`ACCEPT_RETRY_US`].
pub fn accept_all(listener: &TcpListener, mut add: impl FnMut(TcpStream)) -> bool {
    loop {
        match listener.accept() {
            Ok((tcp, _)) => add(tcp),
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock => return false,
                // The peer has closed the pending connection, or a signal arrived.
                ErrorKind::ConnectionAborted
                | ErrorKind::ConnectionReset
                | ErrorKind::Interrupted => {}
                _ => return true,
            },
        }
    }
}
