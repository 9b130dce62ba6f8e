//! Fake of a replicated database: three instances that follow the replication rules of the
//! platform.

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::{InstanceReport, InstanceRole, Lsn, Position, Term};

/// Number of replication steps between two copies of the primary's log, per instance. The different
/// periods make the replicas lag by different times.
const REPLICATION_PERIODS: [u64; 3] = [1, 2, 7];

#[derive(Clone)]
pub(crate) struct FakeInstance {
    pub(crate) up: bool,
    pub(crate) paused: bool,
    pub(crate) partitioned_from_group: bool,
    pub(crate) partitioned_from_proxies: bool,
    pub(crate) lost_promote_responses: u32,
    pub(crate) response_delay_us: u64,
    pub(crate) accepted: Term,
    pub(crate) position: Position,
    /// Term under which the instance was promoted, if it takes writes.
    pub(crate) primary_of: Option<Term>,
    pub(crate) follows: Option<usize>,
    primary_last_heard_at_us: Option<u64>,
}

pub(crate) struct FakeGroup {
    pub(crate) instances: Vec<FakeInstance>,
    /// Whether the primary is written to while its owner admits work.
    pub(crate) writes: bool,
    /// Instances that hear from their primary but copy none of its log.
    pub(crate) lagging: Vec<usize>,
    /// Highest position that a majority had reached under one accepted term. Writes up to it may
    /// have been acknowledged.
    acknowledged: Position,
}

impl FakeGroup {
    pub(crate) fn new() -> Self {
        let instance = FakeInstance {
            up: true,
            paused: false,
            partitioned_from_group: false,
            partitioned_from_proxies: false,
            lost_promote_responses: 0,
            response_delay_us: 1_000,
            accepted: Term(0),
            position: Position::new(Term(0), Lsn(10)),
            primary_of: None,
            follows: None,
            primary_last_heard_at_us: None,
        };
        Self {
            instances: vec![instance; 3],
            writes: true,
            lagging: Vec::new(),
            acknowledged: Position::default(),
        }
    }

    /// Performs a call on an instance that is reachable.
    pub(crate) fn call(
        &mut self,
        index: usize,
        operation: InstanceOperation,
        now_us: u64,
    ) -> InstanceReport {
        let term = match operation {
            InstanceOperation::Status => None,
            InstanceOperation::AcceptTerm(term) | InstanceOperation::Promote(term) => Some(term),
            InstanceOperation::Follow { term, .. } => Some(term),
        };
        let instance = &mut self.instances[index];
        let accepted = term.is_none_or(|term| term >= instance.accepted);
        if let Some(term) = term.filter(|_| accepted) {
            if term > instance.accepted {
                instance.primary_of = None;
            }
            instance.accepted = term;
        }
        match operation {
            InstanceOperation::Promote(term) if accepted => {
                assert!(
                    instance.position >= self.acknowledged,
                    "instance {index} at {} is promoted and lacks acknowledged writes up to {}",
                    instance.position,
                    self.acknowledged,
                );
                instance.primary_of = Some(term);
                instance.follows = None;
                instance.position = Position::new(term, Lsn(instance.position.lsn.0 + 1));
            }
            InstanceOperation::Follow { primary, .. } if accepted => {
                instance.primary_of = None;
                instance.follows = Some(usize::from(primary.port()) % 10);
            }
            _ => {}
        }
        self.report(index, accepted, now_us)
    }

    fn report(&self, index: usize, accepted: bool, now_us: u64) -> InstanceReport {
        let instance = &self.instances[index];
        let is_primary = instance.primary_of.is_some();
        InstanceReport {
            accepted_term: instance.accepted,
            position: instance.position,
            role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
            primary_heard_ms: instance
                .primary_last_heard_at_us
                .map(|at_us| (now_us - at_us) / 1_000),
            accepted,
        }
    }

    /// Appends a write on the instance that an owner uses as primary, if it accepts the write.
    pub(crate) fn write(&mut self, index: u8, term: Term) {
        let instance = &mut self.instances[usize::from(index)];
        let is_reachable = instance.up && !instance.paused && !instance.partitioned_from_proxies;
        if self.writes && is_reachable && instance.primary_of == Some(term) {
            instance.position.lsn.0 += 1;
        }
    }

    /// Copies the log of each primary to the replicas that follow it and accept its term.
    pub(crate) fn replicate(&mut self, now_us: u64, step: u64) {
        for primary in 0..self.instances.len() {
            let source = self.instances[primary].clone();
            let Some(term) = source.primary_of.filter(|_| source.up && !source.paused) else {
                continue;
            };
            let position = source.position;
            for (index, instance) in self.instances.iter_mut().enumerate() {
                let is_reachable =
                    !source.partitioned_from_group && !instance.partitioned_from_group;
                let accepts = instance.up && !instance.paused && instance.accepted <= term;
                if instance.follows == Some(primary) && is_reachable && accepts {
                    instance.primary_last_heard_at_us = Some(now_us);
                    let is_copied = step.is_multiple_of(REPLICATION_PERIODS[index]);
                    if is_copied && !self.lagging.contains(&index) {
                        instance.position = position;
                    }
                }
            }
            self.record_acknowledged(term);
        }
    }

    fn record_acknowledged(&mut self, term: Term) {
        let accepting = self.instances.iter().filter(|instance| instance.accepted == term);
        let mut positions: Vec<Position> = accepting.map(|instance| instance.position).collect();
        positions.sort_unstable();
        if positions.len() >= 2 {
            self.acknowledged = self.acknowledged.max(positions[positions.len() - 2]);
        }
    }

    pub(crate) fn is_serving(&self, index: u8, term: Term) -> bool {
        let instance = &self.instances[usize::from(index)];
        let accepting = self.instances.iter().filter(|i| i.up && i.accepted == term).count();
        instance.up
            && !instance.paused
            && !instance.partitioned_from_group
            && !instance.partitioned_from_proxies
            && instance.primary_of == Some(term)
            && accepting >= 2
    }
}
