//! Fake database instances that complete every call at once.

use std::collections::BTreeMap;

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::{InstanceId, InstanceReport, InstanceRole, Lsn, Position, Term};

#[derive(Default)]
struct Instance {
    accepted_term: Term,
    position: Position,
    primary_term: Option<Term>,
}

/// All instances; one is created by the first call to it.
#[derive(Default)]
pub struct FakeInstances {
    instances: BTreeMap<InstanceId, Instance>,
}

impl FakeInstances {
    /// Performs a call. One with a term lower than the accepted term is refused.
    pub fn call(&mut self, id: InstanceId, operation: InstanceOperation) -> InstanceReport {
        let instance = self.instances.entry(id).or_default();
        let term = match operation {
            InstanceOperation::Status => None,
            InstanceOperation::AcceptTerm(term) | InstanceOperation::Promote(term) => Some(term),
            InstanceOperation::Follow { term, .. } => Some(term),
        };
        let accepted = term.is_none_or(|term| term >= instance.accepted_term);
        if let Some(term) = term.filter(|_| accepted) {
            if term > instance.accepted_term {
                instance.primary_term = None;
            }
            instance.accepted_term = term;
        }
        if let (InstanceOperation::Promote(term), true) = (operation, accepted) {
            instance.primary_term = Some(term);
            instance.position = Position::new(term, Lsn(instance.position.lsn.0 + 1));
        }
        let is_primary = instance.primary_term.is_some();
        InstanceReport {
            accepted_term: instance.accepted_term,
            position: instance.position,
            role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
            primary_heard_ms: (!is_primary).then_some(10),
            accepted,
        }
    }
}
