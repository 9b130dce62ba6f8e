//! Per-database state on the owner.

use std::collections::VecDeque;

use super::DispatchPolicy;
use super::instance_state::InstanceState;
use super::position_history::PositionHistory;
use super::rank_queues::RankQueues;
use crate::configuration::{Database, Service};
use crate::{DatabaseId, InstanceRole, Position, ServedDatabase, WorkItemKey};

/// State of a database that this thread serves: queues, instances and pending confirmations.
#[derive(Clone, Debug)]
pub(crate) struct DatabaseState<P> {
    pub(crate) id: DatabaseId,
    pub(crate) served: ServedDatabase,
    pub(crate) service: Service,
    pub(crate) instances: Vec<InstanceState>,
    /// Queued requests that need the primary.
    pub(crate) primary_queues: RankQueues<P>,
    /// Queued reads that a replica may serve.
    pub(crate) replica_queues: RankQueues<P>,
    /// Statements of open transactions. They are dispatched first because their transactions hold
    /// connections and locks.
    pub(crate) transaction_queue: VecDeque<WorkItemKey>,
    /// Reads of sessions that have no minimum position yet.
    pub(crate) awaiting_min_position: Vec<WorkItemKey>,
    /// Held responses that need a confirmation of the term, oldest first.
    pub(crate) awaiting_term: VecDeque<WorkItemKey>,
    /// Held responses that need replication and wait for a probe to report the primary's position,
    /// oldest first.
    pub(crate) awaiting_primary: VecDeque<WorkItemKey>,
    /// Held responses that wait for replicas to reach their position, oldest first.
    pub(crate) awaiting_replicas: VecDeque<WorkItemKey>,
    pub(crate) position_history: PositionHistory,
    /// Moving average of the time from a backend server's response to its confirmation.
    pub(crate) confirmation_time_us: u64,
    /// Time up to which a majority has confirmed the term.
    pub(crate) confirmed_until_us: Option<u64>,
    /// Time at which the process resumed after a pause; `None` once the term is confirmed again.
    pub(crate) resumed_us: Option<u64>,
    /// When the newest waiting request began to wait; only probes sent since then can satisfy it.
    pub(crate) newest_wait_us: u64,
    /// Arrival of the last request, refused ones included; probing continues for a while after it.
    pub(crate) last_request_us: u64,
    /// Highest later epoch that has been reported to the control thread.
    pub(crate) reported_epoch: u32,
    /// Whether the control thread has been told that the database is quiescent.
    pub(crate) reported_quiescent: bool,
    /// Number of requests that run or wait for a confirmation.
    pub(crate) active_requests: u32,
    /// Number of open transactions.
    pub(crate) transactions: u32,
}

impl<P: DispatchPolicy> DatabaseState<P> {
    /// Time without a confirming majority after which requests that need one are refused on
    /// arrival.
    const MAJORITY_TIMEOUT_US: u64 = 1_000_000;

    pub(crate) fn new(database: &Database, service: &Service, served: ServedDatabase) -> Self {
        let instances = database.instance_ids().zip(&database.instances);
        Self {
            id: database.id,
            served,
            service: service.clone(),
            instances: instances
                .map(|(id, settings)| InstanceState::new(id, settings.clone()))
                .collect(),
            primary_queues: RankQueues::new(service),
            replica_queues: RankQueues::new(service),
            transaction_queue: VecDeque::new(),
            awaiting_min_position: Vec::new(),
            awaiting_term: VecDeque::new(),
            awaiting_primary: VecDeque::new(),
            awaiting_replicas: VecDeque::new(),
            position_history: PositionHistory::default(),
            confirmation_time_us: 0,
            confirmed_until_us: None,
            resumed_us: None,
            newest_wait_us: 0,
            last_request_us: 0,
            reported_epoch: 0,
            reported_quiescent: false,
            active_requests: 0,
            transactions: 0,
        }
    }

    /// The primary; `None` during a promotion.
    pub(crate) fn primary(&self) -> Option<&InstanceState> {
        self.instances.get(usize::from(self.served.primary_index?))
    }

    /// Index of the primary; `None` during a promotion.
    pub(crate) fn primary_index(&self) -> Option<usize> {
        self.served.primary_index.map(usize::from)
    }

    /// Instances other than the primary.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &InstanceState> {
        let primary_index = self.primary_index();
        let instances = self.instances.iter().enumerate();
        instances.filter(move |(index, _)| Some(*index) != primary_index).map(|(_, state)| state)
    }

    /// Total number of slots of all replicas, at least 1.
    pub(crate) fn replica_slots(&self) -> u64 {
        self.replicas().map(|replica| u64::from(replica.settings.slots)).sum::<u64>().max(1)
    }

    /// Number of replicas that form a majority together with the primary.
    pub(crate) fn replica_quorum(&self) -> usize {
        self.instances.len() / 2
    }

    /// The send time of the primary's last successful probe under the current term, and the
    /// position that it reported.
    pub(crate) fn primary_report(&self) -> Option<(u64, Position)> {
        let (sent_us, report) = self.primary()?.report_of_term(self.served.term)?;
        (report.role == InstanceRole::Primary).then_some((sent_us, report.position))
    }

    /// The latest time such that the primary and enough replicas for a majority have responded to
    /// probes sent at or after it, all under the current term. The primary had not been superseded
    /// when it executed anything before that time.
    pub(crate) fn term_confirmed_us(&self) -> Option<u64> {
        let (primary_sent_us, _) = self.primary_report()?;
        let term = self.served.term;
        let replicas = self.replicas().filter_map(|replica| replica.report_of_term(term));
        let mut sent_us: Vec<u64> = replicas.map(|(sent_us, _)| sent_us).collect();
        sent_us.sort_unstable_by(|a, b| b.cmp(a));
        match self.replica_quorum() {
            0 => Some(primary_sent_us),
            quorum => Some(primary_sent_us.min(*sent_us.get(quorum - 1)?)),
        }
    }

    /// Position that an instance last reported under the current term.
    pub(crate) fn position_of(&self, index: usize) -> Option<Position> {
        let (_, report) = self.instances[index].report_of_term(self.served.term)?;
        Some(report.position)
    }

    /// Whether probes sent at or after `since_us` show that enough replicas for a majority have
    /// reached a position.
    pub(crate) fn is_replicated(&self, position: Position, since_us: u64) -> bool {
        let term = self.served.term;
        let replicas = self.replicas().filter_map(|replica| replica.report_of_term(term));
        let confirming = replicas
            .filter(|(sent_us, report)| *sent_us >= since_us && report.position >= position);
        confirming.count() >= self.replica_quorum()
    }

    /// Whether a majority has failed to confirm the term for so long that a new request would
    /// probably wait until its deadline.
    pub(crate) fn lacks_majority(&self, now_us: u64) -> bool {
        let confirming = self.instances.iter().filter(|instance| {
            let since_us = instance.unconfirmed_since_us;
            since_us.is_none_or(|since_us| now_us < since_us + Self::MAJORITY_TIMEOUT_US)
        });
        confirming.count() <= self.instances.len() / 2
    }

    /// Adds a sample to the average confirmation time.
    pub(crate) fn record_confirmation_time(&mut self, time_us: u64) {
        self.confirmation_time_us = (self.confirmation_time_us * 7 + time_us) / 8;
    }

    /// Lowers the average confirmation time after it caused a refusal. Otherwise a high average
    /// would refuse every request, and no new sample could show that confirmations have become
    /// faster.
    pub(crate) fn decay_confirmation_time(&mut self) {
        self.confirmation_time_us -= self.confirmation_time_us / 16;
    }

    /// Whether anything waits for the result of a probe.
    pub(crate) fn awaits_probes(&self) -> bool {
        !(self.resumed_us.is_none()
            && self.awaiting_min_position.is_empty()
            && self.awaiting_term.is_empty()
            && self.awaiting_primary.is_empty()
            && self.awaiting_replicas.is_empty())
    }

    /// Whether nothing runs or waits for a confirmation and no transaction is open.
    pub(crate) fn is_quiescent(&self) -> bool {
        self.active_requests == 0 && self.transactions == 0
    }

    /// Clears all probe results and confirmations of the former term.
    pub(crate) fn clear_confirmations(&mut self) {
        self.position_history.clear();
        self.confirmed_until_us = None;
        self.confirmation_time_us = 0;
        for instance in &mut self.instances {
            instance.unconfirmed_since_us = None;
            instance.report = None;
            instance.last_probe_sent_us = 0;
        }
    }
}
