//! Limit of open file descriptors.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Descriptors needed besides those of callers: connections to backend servers, links, listeners.
const RESERVED_DESCRIPTORS: u64 = 4096;

/// Raises the soft limit of open files to what `callers_limit` callers need, as far as the hard
/// limit allows. The soft limit at the start of a process is often 1,024.
pub fn raise_limit(callers_limit: u32) {
    let needed = u64::from(callers_limit) + RESERVED_DESCRIPTORS;
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
