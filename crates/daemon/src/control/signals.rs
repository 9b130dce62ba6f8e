//! Signals that shut the process down.

use std::io::{self, Read};

use mio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Receives the signals that shut the process down. The signal handler writes a byte for each into
/// a socket pair that the control thread polls.
#[derive(Debug)]
pub struct Signals {
    receiver: UnixStream,
}

impl Signals {
    /// Installs the handlers of SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The system cannot create the socket pair or install a handler.
    pub fn install() -> io::Result<Self> {
        let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        pipe::register(SIGTERM, sender.try_clone()?)?;
        pipe::register(SIGINT, sender)?;
        Ok(Self { receiver: UnixStream::from_std(receiver) })
    }

    /// The receiving socket, for registration with the poll.
    pub fn receiver_mut(&mut self) -> &mut UnixStream {
        &mut self.receiver
    }

    /// Number of signals since the last call.
    pub fn take_count(&mut self) -> usize {
        let mut total = 0;
        let mut bytes = [0; 16];
        loop {
            match self.receiver.read(&mut bytes) {
                Ok(0) => return total,
                Ok(count) => total += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return total,
            }
        }
    }
}
