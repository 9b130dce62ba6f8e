//! Requests at their entry proxy.

use super::CallerRequest;
use crate::{CallerKey, HostId};

/// A request of a caller of this proxy, until its answer is delivered.
#[derive(Clone, Debug)]
pub(crate) struct EntryRequest {
    pub(crate) caller: CallerKey,
    pub(crate) request: CallerRequest,
    pub(crate) arrived_us: u64,
    /// When the caller gives the request up.
    pub(crate) deadline_us: u64,
    /// Entry in the index of deadlines; later than `deadline_us` once the owner has the request.
    pub(crate) expires_us: u64,
    pub(crate) state: EntryState,
    /// Routing attempts that ended without the request being run.
    pub(crate) attempts: u32,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EntryState {
    /// It is to be sent to the owner at the next opportunity.
    Unrouted,
    /// It waits for the owner to be known or reachable.
    AwaitingOwner { retry_us: u64 },
    /// It was handed to the owner.
    Sent { owner: HostId },
}
