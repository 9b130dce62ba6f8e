//! Simulated instances of one replica set, with asynchronous replication and ordered promotions.

use flamingorock_core::{Lsn, Position, Term};
use flamingorock_pool::{InstanceStatus, ReplicationRole};

/// A commit, identified by an id that is unique in the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub id: u64,
}

#[derive(Clone)]
pub struct Instance {
    pub is_up: bool,
    /// Whether the instance accepts writes.
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Commit>,
}

impl Instance {
    pub fn new(is_primary: bool) -> Self {
        Self { is_up: true, is_primary, term: 1, log: Vec::new() }
    }

    pub fn position(&self) -> Position {
        let term = self.log.last().map_or(1, |commit| commit.term);
        Position::new(Term(term), Lsn(self.log.len() as u64))
    }

    /// Whether the log contains a position. It contains no position of a later term than its own.
    pub fn contains_position(&self, position: Position) -> bool {
        self.position() >= position
    }

    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            role: if self.is_primary { ReplicationRole::Primary } else { ReplicationRole::Replica },
            term: Term(self.term),
            received: self.position(),
            lag_ms: 0,
        }
    }
}
