//! First in, first out, a baseline for measurements.

use super::DispatchPolicy;
use crate::configuration::Service;

/// Serves requests in the order of their arrival, whatever their rank.
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
