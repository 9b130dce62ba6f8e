//! Log output to standard output that never blocks the calling thread.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::stdio::stdout;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the buffer for a slow reader of standard output. Lines that do not fit are dropped
/// and counted.
const BUFFER_BYTES: usize = 256 * 1024;
/// Size of one write. A pipe that is reported as writable takes this many bytes without blocking.
const WRITE_CHUNK_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Lines dropped since the last `log_lines_dropped` line.
    dropped: u64,
}

/// Writer to standard output with a bounded buffer.
#[derive(Debug, Default)]
pub struct LogSink {
    pending: Mutex<Pending>,
}

impl LogSink {
    /// Appends a line, or drops it if the buffer is full, and writes what standard output takes.
    fn append(&self, line: &[u8]) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > BUFFER_BYTES {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(line);
        }
        pending.write();
    }
}

impl Pending {
    /// Writes as much of the buffer as standard output takes without blocking.
    fn write(&mut self) {
        let mut written = 0;
        while written < self.bytes.len() && is_writable() {
            let end = self.bytes.len().min(written + WRITE_CHUNK_BYTES);
            match rustix::io::write(stdout(), &self.bytes[written..end]) {
                Ok(count) => written += count,
                // The reader has closed its end, so that the error cannot be reported there.
                Err(_) => break,
            }
        }
        self.bytes.drain(..written);
        if self.bytes.is_empty() && self.dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"count\":{}}}\n",
                self.dropped
            );
            self.dropped = 0;
            self.bytes.extend_from_slice(line.as_bytes());
        }
    }
}

fn is_writable() -> bool {
    let out = stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut fds, Some(&now)), Ok(1)) && fds[0].revents().contains(PollFlags::OUT)
}

impl Write for &LogSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.append(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogSink {
    type Writer = &'a Self;

    fn make_writer(&'a self) -> Self::Writer {
        self
    }
}
