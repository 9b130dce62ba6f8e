//! Acceptance of connections.

use std::io::ErrorKind;

use mio::net::{TcpListener, TcpStream};

/// Delay before a listener is tried again that could not accept because the system is out of file
/// descriptors or memory. The poll does not report it again for connections that wait already.
pub const ACCEPT_RETRY_US: u64 = 100_000;

/// Accepts the connections that wait at a listener. Returns whether some may still wait, so that the
/// listener must be tried again after [`ACCEPT_RETRY_US`].
pub fn accept_all(listener: &TcpListener, mut add: impl FnMut(TcpStream)) -> bool {
    loop {
        match listener.accept() {
            Ok((tcp, _)) => add(tcp),
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock => return false,
                // The peer has given up, or a signal arrived.
                ErrorKind::ConnectionAborted
                | ErrorKind::ConnectionReset
                | ErrorKind::Interrupted => {}
                _ => return true,
            },
        }
    }
}
