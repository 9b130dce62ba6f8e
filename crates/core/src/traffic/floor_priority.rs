//! Priority scheduling with a guaranteed minimum share for each rank.

use super::DispatchPolicy;
use crate::configuration::Service;

/// Dispatches from the most urgent rank that has requests waiting, unless a waiting rank has
/// received less than its floor, the guaranteed percentage of recent dispatches. Of several ranks
/// below their floor, the one with the largest shortfall is chosen.
#[derive(Clone, Debug)]
pub struct FloorPriority {
    floors_percent: Vec<u32>,
    dispatched: Vec<u32>,
}

impl FloorPriority {
    /// Sum of the counts at which all counts are halved, so that older dispatches weigh less.
    const WINDOW: u32 = 256;

    fn total(&self) -> u32 {
        self.dispatched.iter().sum()
    }

    /// How far a rank is below its floor, in hundredths of a dispatch; negative if it is above.
    fn shortfall(&self, rank: usize) -> i64 {
        let guaranteed = i64::from(self.floors_percent[rank]) * i64::from(self.total());
        guaranteed - 100 * i64::from(self.dispatched[rank])
    }

    /// Clears the shortfall of a rank that has no requests waiting. Otherwise its first requests
    /// after an idle period would be dispatched in one burst ahead of more urgent ones.
    fn clear_shortfall(&mut self, rank: usize) {
        let shortfall = self.shortfall(rank);
        if shortfall > 0 {
            self.dispatched[rank] += u32::try_from(shortfall / 100).unwrap_or(0);
        }
    }
}

impl DispatchPolicy for FloorPriority {
    fn new(service: &Service) -> Self {
        let floors_percent = service.ranks.iter().map(|rank| u32::from(rank.floor_percent));
        Self { floors_percent: floors_percent.collect(), dispatched: vec![0; service.ranks.len()] }
    }

    fn choose(&mut self, oldest_arrival_us: &[Option<u64>]) -> Option<usize> {
        let mut below_floor: Option<(i64, usize)> = None;
        for (rank, arrival) in oldest_arrival_us.iter().enumerate() {
            if arrival.is_none() {
                self.clear_shortfall(rank);
                continue;
            }
            let shortfall = self.shortfall(rank);
            if shortfall > 0 && below_floor.is_none_or(|(largest, _)| shortfall > largest) {
                below_floor = Some((shortfall, rank));
            }
        }
        below_floor
            .map(|(_, rank)| rank)
            .or_else(|| oldest_arrival_us.iter().position(Option::is_some))
    }

    fn record_dispatch(&mut self, rank: usize) {
        self.dispatched[rank] += 1;
        if self.total() >= Self::WINDOW {
            self.dispatched.iter_mut().for_each(|count| *count /= 2);
        }
    }

    fn floor_percent(&self, rank: usize) -> u32 {
        self.floors_percent[rank]
    }
}
