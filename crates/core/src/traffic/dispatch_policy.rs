//! Order of service among ranks.

use crate::configuration::Service;

/// Decides which rank's oldest request is dispatched next.
pub trait DispatchPolicy {
    /// Creates the policy for one queue of a service.
    fn new(service: &Service) -> Self;

    /// Chooses among the ranks. `oldest_arrival_us` has an entry for each rank: the arrival of its
    /// oldest waiting request, or `None` if nothing waits.
    fn choose(&mut self, oldest_arrival_us: &[Option<u64>]) -> Option<usize>;

    /// Records that a request of a rank was dispatched.
    fn record_dispatch(&mut self, rank: usize);

    /// Least share of the dispatches that a waiting rank gets, in percent.
    fn floor_percent(&self, rank: usize) -> u32;
}
