//! Signals that end the process.

use std::io::{self, Read};

use mio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Signals that end the process. Each writes a byte into a pipe that the control thread polls.
#[derive(Debug)]
pub struct Signals {
    receiver: UnixStream,
}

impl Signals {
    /// Takes over SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The system refuses a pipe or a signal handler.
    pub fn install() -> io::Result<Self> {
        let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        pipe::register(SIGTERM, sender.try_clone()?)?;
        pipe::register(SIGINT, sender)?;
        Ok(Self { receiver: UnixStream::from_std(receiver) })
    }

    /// The pipe, to register it.
    pub fn receiver_mut(&mut self) -> &mut UnixStream {
        &mut self.receiver
    }

    /// Number of signals since the last call.
    pub fn take(&mut self) -> usize {
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
