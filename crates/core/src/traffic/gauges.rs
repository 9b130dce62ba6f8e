//! Present sizes of the tables.

/// Present sizes of the tables of a traffic machine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Gauges {
    /// Callers connected to this thread.
    pub callers: usize,
    /// Requests of these callers that are not answered.
    pub entry_requests: usize,
    /// Requests queued in the databases that this thread serves.
    pub queued: usize,
    /// Requests that run on a backend server.
    pub running: usize,
    /// Answers that wait for a confirmation.
    pub awaiting_confirmation: usize,
    /// Open transactions in the databases that this thread serves.
    pub transactions: usize,
    /// Connections to backend servers, monitor connections not included.
    pub connections: usize,
}
