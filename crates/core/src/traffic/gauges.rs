//! Gauges of the traffic machine.

/// Current number of entities in each state on one traffic thread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Gauges {
    /// Callers connected to this thread.
    pub callers: usize,
    /// Requests of these callers that are not answered yet.
    pub entry_requests: usize,
    /// Requests waiting to be dispatched in the databases that this thread serves.
    pub queued: usize,
    /// Requests running on backend servers.
    pub running: usize,
    /// Responses held until they are confirmed.
    pub awaiting_confirmation: usize,
    /// Open transactions in the databases that this thread serves.
    pub transactions: usize,
    /// Connections to backend servers, excluding monitor connections.
    pub connections: usize,
}
