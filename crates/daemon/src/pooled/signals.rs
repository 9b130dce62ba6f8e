//! Signals to the process.

use std::io::{self, Read};

use mio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// A pipe that receives a byte with each signal of its kind.
#[derive(Debug)]
pub struct SignalPipe {
    receiver: UnixStream,
}

impl SignalPipe {
    /// Takes over the signals that end the process.
    ///
    /// # Errors
    ///
    /// The system refuses a pipe or a signal handler.
    pub fn for_stop() -> io::Result<Self> {
        Self::install(&[SIGTERM, SIGINT])
    }

    /// Takes over the signal that tells of changed settings.
    ///
    /// # Errors
    ///
    /// The system refuses a pipe or a signal handler.
    pub fn for_reload() -> io::Result<Self> {
        Self::install(&[SIGHUP])
    }

    fn install(signals: &[i32]) -> io::Result<Self> {
        let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        for signal in signals {
            pipe::register(*signal, sender.try_clone()?)?;
        }
        Ok(Self { receiver: UnixStream::from_std(receiver) })
    }

    /// The pipe, to register it.
    pub fn receiver_mut(&mut self) -> &mut UnixStream {
        &mut self.receiver
    }

    /// Whether a signal has come since the last call.
    pub fn take(&mut self) -> bool {
        let mut is_signalled = false;
        let mut bytes = [0; 16];
        while let Ok(count) = self.receiver.read(&mut bytes) {
            if count == 0 {
                break;
            }
            is_signalled = true;
        }
        is_signalled
    }
}
