//! First-in, first-out scheduling, a baseline for measurements.

use super::DispatchPolicy;
use crate::configuration::Service;

/// Dispatches requests in order of arrival, regardless of rank.
#[derive(Clone, Debug)]
pub struct FirstInFirstOut;

impl DispatchPolicy for FirstInFirstOut {
    fn new(_service: &Service) -> Self {
        Self
    }

    fn choose(&mut self, oldest_arrival_us: &[Option<u64>]) -> Option<usize> {
        let waiting = oldest_arrival_us.iter().enumerate();
        let oldest = waiting.filter_map(|(rank, arrival_us)| Some(((*arrival_us)?, rank))).min()?;
        Some(oldest.1)
    }

    fn record_dispatch(&mut self, _rank: usize) {}

    fn floor_percent(&self, _rank: usize) -> u32 {
        0
    }
}
