//! Requests at the entry proxy.

use super::CallerRequest;
use crate::{CallerKey, HostId};

/// A request of a caller connected to this proxy, from its arrival to the delivery of its outcome.
#[derive(Clone, Debug)]
pub(crate) struct EntryRequest {
    pub(crate) caller: CallerKey,
    pub(crate) request: CallerRequest,
    pub(crate) arrived_us: u64,
    /// Deadline set by the caller or by the rank.
    pub(crate) deadline_us: u64,
    /// Time under which the request is listed in `request_deadlines`: `deadline_us`, plus a grace
    /// period for the owner's response once the request is sent. Shortened if that host is no
    /// longer the owner.
    pub(crate) expires_us: u64,
    pub(crate) state: EntryState,
    /// Number of routing attempts after which the request had not run.
    pub(crate) routing_attempts: u32,
}

/// Routing state of a request at the entry proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EntryState {
    /// It will be routed in this tick.
    Unrouted,
    /// It waits for an owner to become known or reachable.
    AwaitingOwner { retry_us: u64 },
    /// It has been sent to the owner.
    Sent { owner: HostId },
}
