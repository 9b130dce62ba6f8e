//! Scheduling policy among ranks.

use crate::configuration::Service;

/// Decides from which rank the next request is dispatched.
pub trait DispatchPolicy {
    /// Creates the policy for one set of queues: those of a database for its primary or its
    /// replicas.
    fn new(service: &Service) -> Self;

    /// Chooses a rank, or `None` if no request waits. `oldest_arrival_us` has one entry per rank:
    /// the arrival time of its oldest waiting request, or `None` if it has none.
    fn choose(&mut self, oldest_arrival_us: &[Option<u64>]) -> Option<usize>;

    /// Records that a request of a rank was dispatched.
    fn record_dispatch(&mut self, rank: usize);

    /// Guaranteed minimum percentage of dispatches for a rank that has requests waiting.
    fn floor_percent(&self, rank: usize) -> u32;
}
