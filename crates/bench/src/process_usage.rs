//! Resource usage of processes and threads, from `/proc`.

use std::fs;
use std::io;

/// CPU time and wake-ups of a set of threads.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// CPU time in nanoseconds. It is read from `schedstat`, which counts the same time as `utime`
    /// and `stime` in `stat` with a finer resolution than their 10 ms.
    pub(crate) cpu_ns: u64,
    /// Voluntary context switches; 0 in a reading of the calling thread.
    pub(crate) wake_ups: u64,
}

impl Usage {
    /// Sums the usage of the threads of a process whose names start with `prefix`. The file
    /// `status` of a process counts the context switches of its main thread only.
    pub(crate) fn of_threads(pid: u32, prefix: &str) -> io::Result<Self> {
        let mut total = Self::default();
        for entry in fs::read_dir(format!("/proc/{pid}/task"))? {
            let path = entry?.path();
            // A thread may exit while the directory is read.
            let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
            if name.starts_with(prefix) {
                total.cpu_ns += cpu_ns(&path.join("schedstat"))?;
                total.wake_ups +=
                    field(&path.join("status"), "voluntary_ctxt_switches:")?.unwrap_or(0);
            }
        }
        Ok(total)
    }

    /// Usage of all threads of a process.
    pub(crate) fn of_process(pid: u32) -> io::Result<Self> {
        Self::of_threads(pid, "")
    }

    /// Usage of the calling thread.
    pub(crate) fn of_this_thread() -> io::Result<Self> {
        let cpu_ns = cpu_ns("/proc/thread-self/schedstat".as_ref())?;
        Ok(Self { cpu_ns, wake_ups: 0 })
    }

    /// Usage since an earlier reading.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            cpu_ns: self.cpu_ns.saturating_sub(earlier.cpu_ns),
            wake_ups: self.wake_ups.saturating_sub(earlier.wake_ups),
        }
    }

    /// CPU time in seconds.
    pub(crate) fn cpu_s(self) -> f64 {
        self.cpu_ns as f64 / 1e9
    }
}

/// Resident memory of a process in kibibytes.
pub(crate) fn resident_kib(pid: u32) -> io::Result<u64> {
    let status = format!("/proc/{pid}/status");
    field(status.as_ref(), "VmRSS:")?.ok_or_else(|| io::Error::other("no VmRSS in status"))
}

fn cpu_ns(path: &std::path::Path) -> io::Result<u64> {
    let text = fs::read_to_string(path)?;
    let first = text.split(' ').next().and_then(|first| first.parse().ok());
    first.ok_or_else(|| io::Error::other("malformed schedstat"))
}

/// Reads the number that follows a name at the start of a line.
fn field(path: &std::path::Path, name: &str) -> io::Result<Option<u64>> {
    let text = fs::read_to_string(path)?;
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    Ok(value.and_then(|value| value.split_whitespace().next()?.parse().ok()))
}
