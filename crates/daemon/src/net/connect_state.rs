//! Progress of outgoing connections.

use std::io::{self, ErrorKind};

use mio::net::TcpStream;

/// Whether a connection that was started is established. Call it when the poll reports the socket.
///
/// # Errors
///
/// The connection failed.
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
