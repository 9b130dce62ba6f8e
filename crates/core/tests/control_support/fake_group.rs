//! A replicated database of three instances that follow the rules of the platform's groups.

use flamingorock_core::control::GroupOperation;
use flamingorock_core::{InstanceReport, InstanceRole, Lsn, Position, Term};

#[derive(Clone)]
pub(crate) struct FakeInstance {
    pub(crate) up: bool,
    pub(crate) paused: bool,
    pub(crate) cut_from_group: bool,
    pub(crate) cut_from_proxies: bool,
    pub(crate) lose_promote_answers: u32,
    pub(crate) accepted: Term,
    pub(crate) position: Position,
    /// Term under which the instance was promoted, if it takes writes.
    pub(crate) primary_of: Option<Term>,
    pub(crate) follows: Option<usize>,
    heard_at_us: Option<u64>,
}

pub(crate) struct FakeGroup {
    pub(crate) instances: Vec<FakeInstance>,
    /// Whether the primary gets a write with every replication step.
    pub(crate) writes: bool,
    /// Instances that replicate nothing, but hear from their primary.
    pub(crate) lagging: Vec<usize>,
}

impl FakeGroup {
    pub(crate) fn new() -> Self {
        let instance = FakeInstance {
            up: true,
            paused: false,
            cut_from_group: false,
            cut_from_proxies: false,
            lose_promote_answers: 0,
            accepted: Term(0),
            position: Position::new(Term(0), Lsn(10)),
            primary_of: None,
            follows: None,
            heard_at_us: None,
        };
        Self { instances: vec![instance; 3], writes: true, lagging: Vec::new() }
    }

    /// Carries out a call on an instance that is reached.
    pub(crate) fn call(
        &mut self,
        index: usize,
        operation: GroupOperation,
        now_us: u64,
    ) -> InstanceReport {
        let term = match operation {
            GroupOperation::Status => None,
            GroupOperation::AcceptTerm(term) | GroupOperation::Promote(term) => Some(term),
            GroupOperation::Follow { term, .. } => Some(term),
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
            GroupOperation::Promote(term) if accepted => {
                instance.primary_of = Some(term);
                instance.follows = None;
                instance.position = Position::new(term, Lsn(instance.position.lsn.0 + 1));
            }
            GroupOperation::Follow { primary, .. } if accepted => {
                instance.primary_of = None;
                instance.follows = Some(usize::from(primary.port()) % 10);
            }
            _ => {}
        }
        let role = if instance.primary_of.is_some() {
            InstanceRole::Primary
        } else {
            InstanceRole::Replica
        };
        InstanceReport {
            accepted_term: instance.accepted,
            position: instance.position,
            role,
            primary_heard_ms: instance.heard_at_us.map(|at_us| (now_us - at_us) / 1_000),
            accepted,
        }
    }

    /// Writes at the primary and copies its log to those that follow it and accept its term.
    pub(crate) fn replicate(&mut self, now_us: u64) {
        for primary in 0..self.instances.len() {
            let source = self.instances[primary].clone();
            let Some(term) = source.primary_of.filter(|_| source.up && !source.paused) else {
                continue;
            };
            if self.writes {
                self.instances[primary].position.lsn.0 += 1;
            }
            let position = self.instances[primary].position;
            for (index, instance) in self.instances.iter_mut().enumerate() {
                let is_reached = !source.cut_from_group && !instance.cut_from_group;
                let takes = instance.up && !instance.paused && instance.accepted <= term;
                if instance.follows == Some(primary) && is_reached && takes {
                    instance.heard_at_us = Some(now_us);
                    if !self.lagging.contains(&index) {
                        instance.position = position;
                    }
                }
            }
        }
    }

    pub(crate) fn is_serving(&self, index: u8, term: Term) -> bool {
        let instance = &self.instances[usize::from(index)];
        let accepting = self.instances.iter().filter(|i| i.up && i.accepted == term).count();
        instance.up
            && !instance.paused
            && !instance.cut_from_group
            && !instance.cut_from_proxies
            && instance.primary_of == Some(term)
            && accepting >= 2
    }
}
