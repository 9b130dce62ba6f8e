//! Strict priority, a baseline for measurements.

use super::DispatchPolicy;
use crate::configuration::Service;

/// Serves the most urgent rank that has work. Less urgent ranks starve under a flood.
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
