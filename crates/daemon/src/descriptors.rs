//! File descriptors of the process.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Descriptors besides those of callers: connections to backend servers, links, listeners.
const OTHERS: u64 = 4096;

/// Raises the limit of open files as far as the callers need and the system allows. The limit that
/// a process starts with is often 1,024.
pub fn raise_limit(callers_limit: u32) {
    let needed = u64::from(callers_limit) + OTHERS;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return;
    }
    let current = limit.maximum.map_or(needed, |maximum| maximum.min(needed));
    let raised = setrlimit(Resource::Nofile, Rlimit { current: Some(current), ..limit });
    if raised.is_err() || current < needed {
        tracing::warn!(needed, "the limit of open files is lower than callers_limit asks for");
    }
}
