//! Queues of a database.

use std::collections::VecDeque;

use super::DispatchPolicy;
use super::drain_rate::DrainRate;
use super::shedding::Shedding;
use crate::WorkItemKey;
use crate::arena::Arena;
use crate::configuration::Service;

use super::work::Work;

/// The queues of one kind of instance, one for each rank.
#[derive(Clone, Debug)]
pub(crate) struct Lane<P> {
    queues: Vec<VecDeque<WorkItemKey>>,
    policy: P,
    shedding: Vec<Shedding>,
    /// Smoothed time from dispatch to answer.
    service_time_us: u64,
    drains: Vec<DrainRate>,
}

impl<P: DispatchPolicy> Lane<P> {
    /// Weight of a new observation in the smoothed service time is one part in this many.
    const SMOOTHING: u64 = 8;

    pub(crate) fn new(service: &Service) -> Self {
        Self {
            queues: vec![VecDeque::new(); service.ranks.len()],
            policy: P::new(service),
            shedding: service.ranks.iter().map(Shedding::new).collect(),
            service_time_us: 0,
            drains: vec![DrainRate::default(); service.ranks.len()],
        }
    }

    pub(crate) fn push(&mut self, rank: usize, work: WorkItemKey) {
        self.queues[rank].push_back(work);
    }

    pub(crate) fn queue_len(&self, rank: usize) -> usize {
        self.queues[rank].len()
    }

    pub(crate) fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Chooses the rank to serve next. Keys of requests that have ended are dropped on the way.
    pub(crate) fn choose(
        &mut self,
        works: &Arena<WorkItemKey, Work>,
    ) -> Option<(usize, WorkItemKey)> {
        let mut arrivals_us = Vec::with_capacity(self.queues.len());
        for queue in &mut self.queues {
            while queue.front().is_some_and(|&key| !works.contains(key)) {
                queue.pop_front();
            }
            let oldest = queue.front().and_then(|&key| works.get(key));
            arrivals_us.push(oldest.map(|work| work.arrived_us));
        }
        let rank = self.policy.choose(&arrivals_us)?;
        Some((rank, *self.queues[rank].front()?))
    }

    /// Takes the chosen request out of its queue to run it.
    pub(crate) fn dispatch(&mut self, rank: usize, slots: u64, waited_us: u64, now_us: u64) {
        self.queues[rank].pop_front();
        self.policy.record_dispatch(rank);
        self.shedding[rank].record_wait(waited_us, now_us);
        let floor_percent = u64::from(self.policy.floor_percent(rank)).max(1);
        let longest_us = self.service_time_us * 100 / (slots * floor_percent);
        let is_empty = self.queues[rank].is_empty();
        self.drains[rank].record_dispatch(now_us, longest_us, is_empty);
    }

    /// Whether a request with a remaining time has to be refused because it would wait for too long.
    pub(crate) fn refuses(
        &mut self,
        rank: usize,
        slots: u64,
        remaining_us: u64,
        now_us: u64,
    ) -> bool {
        let wait_us = self.expected_wait_us(rank, slots);
        wait_us > remaining_us || self.shedding[rank].refuses(wait_us, now_us)
    }

    /// Time that a request needs from its dispatch to its answer with a good margin. Four times the
    /// mean covers 98 % of exponentially distributed service times.
    pub(crate) fn service_time_margin_us(&self) -> u64 {
        4 * self.service_time_us
    }

    /// Takes the chosen request out of its queue without running it.
    pub(crate) fn remove_head(&mut self, rank: usize) {
        self.queues[rank].pop_front();
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<WorkItemKey> {
        self.queues.iter_mut().flat_map(|queue| queue.drain(..)).collect()
    }

    pub(crate) fn record_service_time(&mut self, service_time_us: u64) {
        if self.service_time_us == 0 {
            self.service_time_us = service_time_us;
            return;
        }
        let weighted_us = self.service_time_us * (Self::SMOOTHING - 1) + service_time_us;
        self.service_time_us = weighted_us / Self::SMOOTHING;
    }

    /// Expected wait of a new request: behind the queue of its rank at the rate at which that queue has
    /// been drained lately, or behind all work that is as urgent while no rate is known.
    fn expected_wait_us(&self, rank: usize, slots: u64) -> u64 {
        if let Some(interval_us) = self.drains[rank].interval_us() {
            return interval_us * self.queues[rank].len() as u64;
        }
        let ahead: usize = self.queues[..=rank].iter().map(VecDeque::len).sum();
        self.service_time_us * ahead as u64 / slots
    }
}
