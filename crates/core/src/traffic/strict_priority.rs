//! Strict priority scheduling, a baseline for measurements.

use super::DispatchPolicy;
use crate::configuration::Service;

/// Dispatches from the most urgent rank that has requests waiting. Less urgent ranks starve under
/// overload.
#[derive(Clone, Debug)]
pub struct StrictPriority;

impl DispatchPolicy for StrictPriority {
    fn new(_service: &Service) -> Self {
        Self
    }

    fn choose(&mut self, oldest_arrival_us: &[Option<u64>]) -> Option<usize> {
        oldest_arrival_us.iter().position(Option::is_some)
    }

    fn record_dispatch(&mut self, _rank: usize) {}

    fn floor_percent(&self, _rank: usize) -> u32 {
        0
    }
}
