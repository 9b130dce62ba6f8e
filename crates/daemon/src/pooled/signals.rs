//! Signals to the process, delivered to the poll through pipes.

use std::io::{self, Read};

use mio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// A pipe to which the signal handler writes a byte for each signal that it is registered for.
#[derive(Debug)]
pub struct SignalPipe {
    receiver: UnixStream,
}

impl SignalPipe {
    /// Installs the handler of the signals that stop the process, SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The pipe or the signal handler cannot be created.
    pub fn for_stop() -> io::Result<Self> {
        Self::install(&[SIGTERM, SIGINT])
    }

    /// Installs the handler of the signal to reload the settings, SIGHUP.
    ///
    /// # Errors
    ///
    /// The pipe or the signal handler cannot be created.
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

    /// Receiving end, to be registered with a poll.
    pub fn receiver_mut(&mut self) -> &mut UnixStream {
        &mut self.receiver
    }

    /// Empties the pipe. Returns whether a signal has arrived since the last call.
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
