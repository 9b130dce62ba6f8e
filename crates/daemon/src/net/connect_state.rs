//! State of connections being opened.

use std::io::{self, ErrorKind};

use mio::net::TcpStream;

/// Whether a non-blocking connect has succeeded; `false` while it is in progress. To be called when
/// the poll reports the socket.
///
/// # Errors
///
/// The connect failed.
pub fn is_connected(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}
