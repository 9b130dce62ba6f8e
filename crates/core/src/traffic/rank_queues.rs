//! Request queues of a database, one per rank.

use std::collections::VecDeque;

use super::DispatchPolicy;
use super::drain_rate::DrainRate;
use super::load_shedder::LoadShedder;
use crate::WorkItemKey;
use crate::arena::Arena;
use crate::configuration::Service;

use super::work_item::WorkItem;

/// Request queues for the primary or for the replicas of a database, one per rank, with the
/// scheduling policy and load estimates that belong to them.
#[derive(Clone, Debug)]
pub(crate) struct RankQueues<P> {
    queues: Vec<VecDeque<WorkItemKey>>,
    policy: P,
    load_shedders: Vec<LoadShedder>,
    /// Moving average of the time from dispatch to response.
    service_time_us: u64,
    drain_rates: Vec<DrainRate>,
}

impl<P: DispatchPolicy> RankQueues<P> {
    /// A new sample of the service time has a weight of 1 / `SMOOTHING`.
    const SMOOTHING: u64 = 8;

    pub(crate) fn new(service: &Service) -> Self {
        Self {
            queues: vec![VecDeque::new(); service.ranks.len()],
            policy: P::new(service),
            load_shedders: service.ranks.iter().map(LoadShedder::new).collect(),
            service_time_us: 0,
            drain_rates: vec![DrainRate::default(); service.ranks.len()],
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

    /// Chooses the rank to dispatch from and returns it with its oldest request. Removes keys of
    /// requests that have ended from the queue heads.
    pub(crate) fn choose(
        &mut self,
        work_items: &Arena<WorkItemKey, WorkItem>,
    ) -> Option<(usize, WorkItemKey)> {
        let mut arrivals_us = Vec::with_capacity(self.queues.len());
        for queue in &mut self.queues {
            while queue.front().is_some_and(|&key| !work_items.contains(key)) {
                queue.pop_front();
            }
            let oldest = queue.front().and_then(|&key| work_items.get(key));
            arrivals_us.push(oldest.map(|work| work.arrived_us));
        }
        let rank = self.policy.choose(&arrivals_us)?;
        Some((rank, *self.queues[rank].front()?))
    }

    /// Removes the chosen request from its queue in order to execute it, and updates the estimates.
    pub(crate) fn dispatch(&mut self, rank: usize, slots: u64, waited_us: u64, now_us: u64) {
        self.queues[rank].pop_front();
        self.policy.record_dispatch(rank);
        self.load_shedders[rank].record_wait(waited_us, now_us);
        let floor_percent = u64::from(self.policy.floor_percent(rank)).max(1);
        let max_interval_us = self.service_time_us * 100 / (slots * floor_percent);
        let is_empty = self.queues[rank].is_empty();
        self.drain_rates[rank].record_dispatch(now_us, max_interval_us, is_empty);
    }

    /// Whether a new request must be refused because its expected wait exceeds its remaining time,
    /// or the limit that applies while load is shed.
    pub(crate) fn should_refuse(
        &mut self,
        rank: usize,
        slots: u64,
        remaining_us: u64,
        now_us: u64,
    ) -> bool {
        let wait_us = self.expected_wait_us(rank, slots);
        wait_us > remaining_us || self.load_shedders[rank].should_shed(wait_us, now_us)
    }

    /// Conservative estimate of the time from dispatch to response. Four times the mean covers 98 %
    /// of exponentially distributed service times.
    pub(crate) fn service_time_margin_us(&self) -> u64 {
        4 * self.service_time_us
    }

    /// Removes the chosen request from its queue without executing it.
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

    /// Expected wait of a new request: the length of its rank's queue at that queue's recent drain
    /// rate. While no rate is known, the service time of all queued requests that are at least as
    /// urgent.
    fn expected_wait_us(&self, rank: usize, slots: u64) -> u64 {
        if let Some(interval_us) = self.drain_rates[rank].interval_us() {
            return interval_us * self.queues[rank].len() as u64;
        }
        let ahead: usize = self.queues[..=rank].iter().map(VecDeque::len).sum();
        self.service_time_us * ahead as u64 / slots
    }
}
