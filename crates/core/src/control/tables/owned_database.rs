//! Databases owned by this host.

use super::{InstanceState, Phase, Standby, Transfer};
use crate::Term;

/// A database owned by this host.
#[derive(Debug)]
pub(crate) struct OwnedDatabase {
    pub(crate) epoch: u32,
    pub(crate) term: Term,
    pub(crate) phase: Phase,
    /// Reports of calls sent before this time are ignored: the configuration had other instances
    /// then.
    pub(crate) monitored_since_us: u64,
    /// Whether the record in the key-value service is known to show this ownership.
    pub(crate) record_written: bool,
    pub(crate) standby: Option<Standby>,
    /// When a standby that is no longer eligible is replaced in the record.
    pub(crate) replace_standby_at_us: Option<u64>,
    /// Whether the terms of the epoch are exhausted, so that this host must claim a new epoch.
    pub(crate) needs_new_epoch: bool,
    pub(crate) instances: Vec<InstanceState>,
    /// Last known primary; preferred among instances with equal positions.
    pub(crate) last_primary: Option<u8>,
    /// Failed instance that is not promoted as long as the other fenced instances are a majority.
    pub(crate) excluded: Option<u8>,
    /// Target of a switchover; preferred among instances with equal positions.
    pub(crate) switchover_target: Option<u8>,
    pub(crate) transfer: Option<Transfer>,
    /// Since when less than a majority of the instances has responded.
    pub(crate) minority_since_us: Option<u64>,
    /// Whether a majority has responded at any time during this ownership.
    pub(crate) had_majority: bool,
    /// Earliest time of the next offer to the standby while no majority of the instances responds.
    pub(crate) next_offer_us: u64,
    /// Earliest time of the next attempt to move the primary away from a leaving host.
    pub(crate) next_evacuation_us: u64,
}

impl OwnedDatabase {
    pub(crate) fn new(epoch: u32, instance_count: usize, now_us: u64) -> Self {
        Self {
            epoch,
            term: Term::first_of_epoch(epoch),
            phase: Phase::Fencing { since_us: now_us, majority_at_us: None },
            monitored_since_us: now_us,
            record_written: false,
            standby: None,
            replace_standby_at_us: None,
            needs_new_epoch: false,
            instances: (0..instance_count).map(|_| InstanceState::default()).collect(),
            last_primary: None,
            excluded: None,
            switchover_target: None,
            transfer: None,
            minority_since_us: None,
            had_majority: false,
            next_offer_us: 0,
            next_evacuation_us: 0,
        }
    }

    /// Number of instances in a majority.
    pub(crate) fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Index of the primary while the database is open.
    pub(crate) fn primary(&self) -> Option<u8> {
        match self.phase {
            Phase::Open { primary } => Some(primary),
            _ => None,
        }
    }

    /// Whether new work is admitted.
    pub(crate) fn admits(&self) -> bool {
        self.transfer.is_none()
    }

    /// Indices of all instances.
    pub(crate) fn indices(&self) -> impl Iterator<Item = u8> + use<> {
        (0..=u8::MAX).take(self.instances.len())
    }

    /// Starts a promotion under a term and clears the state of the previous term.
    pub(crate) fn begin_fencing(&mut self, term: Term, now_us: u64) {
        let since_us = match self.phase {
            Phase::Fencing { since_us, .. } => since_us,
            _ => now_us,
        };
        if let Phase::Open { primary } = self.phase {
            self.last_primary = Some(primary);
        }
        self.term = term;
        self.phase = Phase::Fencing { since_us, majority_at_us: None };
        for instance in &mut self.instances {
            instance.reset_term(now_us);
        }
    }

    /// Starts a promotion under the next term, or requests a new epoch if the terms are exhausted.
    pub(crate) fn begin_next_term(&mut self, above: Term, now_us: u64) {
        let next = above.max(self.term).next_in_epoch();
        self.needs_new_epoch = next.is_none();
        self.begin_fencing(next.unwrap_or(self.term), now_us);
    }

    /// Replaces the set of instances and fences the new one under the next term.
    pub(crate) fn replace_instances(&mut self, count: usize, now_us: u64) {
        self.begin_next_term(self.term, now_us);
        self.instances = (0..count).map(|_| InstanceState::default()).collect();
        self.monitored_since_us = now_us;
        self.last_primary = None;
        self.excluded = None;
        self.switchover_target = None;
        self.transfer = None;
        self.minority_since_us = None;
    }
}
