//! Instances of one replica set, with asynchronous replication and ordered promotions.

use flamingorock_core::{Lsn, Position, Term};
use flamingorock_pool::{InstanceStatus, ReplicationRole};

/// A commit: the term in which it was made and a number that is unique in the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub id: u64,
}

#[derive(Clone)]
pub struct Instance {
    pub is_up: bool,
    /// Whether it takes writes.
    pub leads: bool,
    pub term: u64,
    pub log: Vec<Commit>,
}

impl Instance {
    pub fn new(leads: bool) -> Self {
        Self { is_up: true, leads, term: 1, log: Vec::new() }
    }

    pub fn position(&self) -> Position {
        let term = self.log.last().map_or(1, |commit| commit.term);
        Position::new(Term(term), Lsn(self.log.len() as u64))
    }

    /// Whether the log has a position. A position of a later term than the log's is not there.
    pub fn has(&self, position: Position) -> bool {
        self.position() >= position
    }

    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            role: if self.leads { ReplicationRole::Primary } else { ReplicationRole::Replica },
            term: Term(self.term),
            received: self.position(),
            lag_ms: 0,
        }
    }
}
