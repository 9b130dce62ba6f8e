//! Instances of databases that answer every call at once.

use std::collections::BTreeMap;

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::{InstanceId, InstanceReport, InstanceRole, Lsn, Position, Term};

#[derive(Default)]
struct Instance {
    accepted: Term,
    position: Position,
    primary_of: Option<Term>,
}

/// All instances by their identity.
#[derive(Default)]
pub struct Groups {
    instances: BTreeMap<InstanceId, Instance>,
}

impl Groups {
    /// Carries out a call.
    pub fn call(&mut self, id: InstanceId, operation: InstanceOperation) -> InstanceReport {
        let instance = self.instances.entry(id).or_default();
        let term = match operation {
            InstanceOperation::Status => None,
            InstanceOperation::AcceptTerm(term) | InstanceOperation::Promote(term) => Some(term),
            InstanceOperation::Follow { term, .. } => Some(term),
        };
        let accepted = term.is_none_or(|term| term >= instance.accepted);
        if let Some(term) = term.filter(|_| accepted) {
            if term > instance.accepted {
                instance.primary_of = None;
            }
            instance.accepted = term;
        }
        if let (InstanceOperation::Promote(term), true) = (operation, accepted) {
            instance.primary_of = Some(term);
            instance.position = Position::new(term, Lsn(instance.position.lsn.0 + 1));
        }
        let is_primary = instance.primary_of.is_some();
        InstanceReport {
            accepted_term: instance.accepted,
            position: instance.position,
            role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
            primary_heard_ms: (!is_primary).then_some(10),
            accepted,
        }
    }
}
