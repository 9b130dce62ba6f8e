//! Databases that a traffic thread serves.

use std::collections::VecDeque;

use super::DispatchPolicy;
use super::instance_state::InstanceState;
use super::lane::Lane;
use super::position_history::PositionHistory;
use crate::configuration::{Database, Service};
use crate::{DatabaseId, InstanceRole, Position, ServedDatabase, WorkItemKey};

/// A database that this thread serves.
#[derive(Clone, Debug)]
pub(crate) struct DatabaseState<P> {
    pub(crate) id: DatabaseId,
    pub(crate) served: ServedDatabase,
    pub(crate) service: Service,
    pub(crate) instances: Vec<InstanceState>,
    /// Requests that need the primary.
    pub(crate) primary_lane: Lane<P>,
    /// Reads that a replica may serve.
    pub(crate) replica_lane: Lane<P>,
    /// Statements of open transactions. They go first: their transactions hold connections and locks.
    pub(crate) transaction_queue: VecDeque<WorkItemKey>,
    /// Reads of sessions without a token.
    pub(crate) awaiting_min_position: Vec<WorkItemKey>,
    /// Answers that need a confirmation of the term, in the order of the answers.
    pub(crate) awaiting_term: VecDeque<WorkItemKey>,
    /// Answers for which the primary's position is not known yet, in the order of the answers.
    pub(crate) awaiting_primary: VecDeque<WorkItemKey>,
    /// Answers whose position replicas must reach, in the order of the answers.
    pub(crate) awaiting_replicas: VecDeque<WorkItemKey>,
    pub(crate) history: PositionHistory,
    /// Smoothed time from the answer of the backend server to its confirmation.
    pub(crate) confirmation_time_us: u64,
    /// Time up to which the term is confirmed by a majority.
    pub(crate) confirmed_until_us: Option<u64>,
    /// When the process resumed after a pause, until the term is confirmed again.
    pub(crate) resumed_us: Option<u64>,
    /// Time from which on probes must have been sent to satisfy the newest waiting request.
    pub(crate) newest_wait_us: u64,
    /// Probes go on for a while after the last request.
    pub(crate) last_request_us: u64,
    /// Highest epoch that was reported to the control thread as a newer one.
    pub(crate) reported_epoch: u32,
    /// Whether quiescence was reported to the control thread.
    pub(crate) reported_quiescent: bool,
    /// Requests that run or wait for a confirmation.
    pub(crate) active: u32,
    /// Open transactions.
    pub(crate) transactions: u32,
}

impl<P: DispatchPolicy> DatabaseState<P> {
    /// Time after which a missing majority leads to refusals at admission.
    const MAJORITY_PATIENCE_US: u64 = 1_000_000;

    pub(crate) fn new(database: &Database, service: &Service, served: ServedDatabase) -> Self {
        let instances = database.instance_ids().zip(&database.instances);
        Self {
            id: database.id,
            served,
            service: service.clone(),
            instances: instances
                .map(|(id, settings)| InstanceState::new(id, settings.clone()))
                .collect(),
            primary_lane: Lane::new(service),
            replica_lane: Lane::new(service),
            transaction_queue: VecDeque::new(),
            awaiting_min_position: Vec::new(),
            awaiting_term: VecDeque::new(),
            awaiting_primary: VecDeque::new(),
            awaiting_replicas: VecDeque::new(),
            history: PositionHistory::default(),
            confirmation_time_us: 0,
            confirmed_until_us: None,
            resumed_us: None,
            newest_wait_us: 0,
            last_request_us: 0,
            reported_epoch: 0,
            reported_quiescent: false,
            active: 0,
            transactions: 0,
        }
    }

    /// The primary, unless a promotion runs.
    pub(crate) fn primary(&self) -> Option<&InstanceState> {
        self.instances.get(usize::from(self.served.primary_index?))
    }

    /// Index of the primary, unless a promotion runs.
    pub(crate) fn primary_index(&self) -> Option<usize> {
        self.served.primary_index.map(usize::from)
    }

    /// Instances other than the primary.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &InstanceState> {
        let primary_index = self.primary_index();
        let instances = self.instances.iter().enumerate();
        instances.filter(move |(index, _)| Some(*index) != primary_index).map(|(_, state)| state)
    }

    /// Slots of all replicas together.
    pub(crate) fn replica_slots(&self) -> u64 {
        self.replicas().map(|replica| u64::from(replica.settings.slots)).sum::<u64>().max(1)
    }

    /// Instances besides the primary that make a majority with it.
    pub(crate) fn quorum_of_replicas(&self) -> usize {
        self.instances.len() / 2
    }

    /// The primary's last report under the term in force, and the time when its probe was sent.
    pub(crate) fn primary_report(&self) -> Option<(u64, Position)> {
        let (sent_us, report) = self.primary()?.report_of_term(self.served.term)?;
        (report.role == InstanceRole::Primary).then_some((sent_us, report.position))
    }

    /// The latest time such that the primary and enough other instances to make a majority answered
    /// probes sent at or after it, all under the term in force. Whatever the primary did before that
    /// time was not done by a superseded primary.
    pub(crate) fn term_confirmed_us(&self) -> Option<u64> {
        let (primary_sent_us, _) = self.primary_report()?;
        let term = self.served.term;
        let replicas = self.replicas().filter_map(|replica| replica.report_of_term(term));
        let mut sent_us: Vec<u64> = replicas.map(|(sent_us, _)| sent_us).collect();
        sent_us.sort_unstable_by(|a, b| b.cmp(a));
        match self.quorum_of_replicas() {
            0 => Some(primary_sent_us),
            quorum => Some(primary_sent_us.min(*sent_us.get(quorum - 1)?)),
        }
    }

    /// Position of an instance as last reported under the term in force.
    pub(crate) fn position_of(&self, index: usize) -> Option<Position> {
        let (_, report) = self.instances[index].report_of_term(self.served.term)?;
        Some(report.position)
    }

    /// Whether enough replicas, by probes sent at or after a time, have a position.
    pub(crate) fn is_replicated(&self, position: Position, since_us: u64) -> bool {
        let term = self.served.term;
        let replicas = self.replicas().filter_map(|replica| replica.report_of_term(term));
        let confirming = replicas
            .filter(|(sent_us, report)| *sent_us >= since_us && report.position >= position);
        confirming.count() >= self.quorum_of_replicas()
    }

    /// Whether no majority has confirmed the term for so long that new work would only wait in vain.
    pub(crate) fn lacks_majority(&self, now_us: u64) -> bool {
        let confirming = self.instances.iter().filter(|instance| {
            let since_us = instance.unconfirmed_since_us;
            since_us.is_none_or(|since_us| now_us < since_us + Self::MAJORITY_PATIENCE_US)
        });
        confirming.count() <= self.instances.len() / 2
    }

    /// Records the time that a confirmation took.
    pub(crate) fn record_confirmation_time(&mut self, time_us: u64) {
        self.confirmation_time_us = (self.confirmation_time_us * 7 + time_us) / 8;
    }

    /// Lowers the expected time of a confirmation after a request was refused because of it. Without
    /// that nothing would run, and so nothing would show that confirmations have become faster.
    pub(crate) fn relax_confirmation_time(&mut self) {
        self.confirmation_time_us -= self.confirmation_time_us / 16;
    }

    /// Whether a request waits for probes.
    pub(crate) fn awaits_probes(&self) -> bool {
        !(self.resumed_us.is_none()
            && self.awaiting_min_position.is_empty()
            && self.awaiting_term.is_empty()
            && self.awaiting_primary.is_empty()
            && self.awaiting_replicas.is_empty())
    }

    /// Whether nothing runs, waits or is open.
    pub(crate) fn is_quiescent(&self) -> bool {
        self.active == 0 && self.transactions == 0
    }

    /// Forgets what was learnt under the former term.
    pub(crate) fn forget_confirmations(&mut self) {
        self.history.clear();
        self.confirmed_until_us = None;
        self.confirmation_time_us = 0;
        for instance in &mut self.instances {
            instance.unconfirmed_since_us = None;
            instance.report = None;
            instance.probed_us = 0;
        }
    }
}
