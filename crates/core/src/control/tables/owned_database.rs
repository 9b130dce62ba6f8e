//! Databases that this host owns.

use super::{InstanceState, Phase, Standby, Transfer};
use crate::Term;

/// A database that this host owns.
#[derive(Debug)]
pub(crate) struct OwnedDatabase {
    pub(crate) epoch: u32,
    pub(crate) term: Term,
    pub(crate) phase: Phase,
    /// Reports of calls sent before concern another set of instances.
    pub(crate) monitored_since_us: u64,
    /// Whether the ownership record shows this ownership.
    pub(crate) record_written: bool,
    pub(crate) standby: Option<Standby>,
    /// When the standby is replaced because it is no longer alive.
    pub(crate) replace_standby_at_us: Option<u64>,
    /// Whether the terms of the epoch are used up, so that a new epoch must be claimed.
    pub(crate) needs_new_epoch: bool,
    pub(crate) instances: Vec<InstanceState>,
    /// Last known primary; preferred on a tie.
    pub(crate) last_primary: Option<u8>,
    /// Instance that is not chosen as long as the others make a majority.
    pub(crate) excluded: Option<u8>,
    /// Instance that is chosen if it has the highest position.
    pub(crate) switchover_target: Option<u8>,
    pub(crate) transfer: Option<Transfer>,
    /// Since when fewer than a majority of the instances answer.
    pub(crate) minority_since_us: Option<u64>,
    /// Whether a majority has answered at any time under this ownership.
    pub(crate) had_majority: bool,
    /// When the standby may be offered the database next for want of a majority.
    pub(crate) next_offer_us: u64,
    /// When a planned promotion away from a leaving host may be tried next.
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

    /// Number of instances that make a majority.
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

    /// Starts a promotion under a term: whatever held under the previous one is forgotten.
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

    /// Starts a promotion under the next term, or asks for a new epoch when the terms are used up.
    pub(crate) fn begin_next_term(&mut self, above: Term, now_us: u64) {
        let next = above.max(self.term).next_in_epoch();
        self.needs_new_epoch = next.is_none();
        self.begin_fencing(next.unwrap_or(self.term), now_us);
    }

    /// Starts over with another set of instances.
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
