//! A fake database instance with terms, a replicated log, transactions and injectable faults.

use std::collections::BTreeMap;

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::{InstanceReport, InstanceRole, Lsn, Position, Term};

/// Identifies a write. The number is unique in its session, so that lost and duplicate writes are
/// detected.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WriteId {
    pub session: u32,
    pub number: u32,
}

/// A log entry: the writes that one commit made in a term. A promotion appends an empty entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    pub term: Term,
    pub writes: Vec<WriteId>,
}

/// A connection of a proxy: its host index and incarnation, packed by `connection_id`, and its key.
pub type ConnectionId = (usize, flamingorock_core::ConnectionKey);

/// The state of a connection at the instance.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Writes of the open transaction, if one is open.
    pub transaction: Option<Vec<WriteId>>,
    /// Whether the open transaction has failed and can only be rolled back.
    pub failed: bool,
    /// The caller's session that opened the transaction.
    pub transaction_session: Option<u32>,
    /// Number of the running statement.
    pub running: Option<u64>,
    /// Whether the proxy closed the connection while a statement was running.
    pub closed: bool,
}

#[derive(Clone, Debug)]
pub struct FakeInstance {
    pub up: bool,
    pub paused_until_us: u64,
    pub partitioned_from_group: bool,
    pub partitioned_from_proxies: bool,
    pub lag_us: u64,
    pub service_time_us: u64,
    pub accepted_term: Term,
    /// Term in which the instance is primary; `None` on a replica.
    pub primary_term: Option<Term>,
    /// Term and index of the primary that the instance replicates from.
    pub follows: Option<(Term, usize)>,
    pub primary_last_heard_us: Option<u64>,
    pub log: Vec<LogEntry>,
    pub connections: BTreeMap<ConnectionId, Session>,
    /// Number of running statements that count towards the slots.
    pub running: u16,
}

impl FakeInstance {
    pub fn new(lag_us: u64, service_time_us: u64) -> Self {
        Self {
            up: true,
            paused_until_us: 0,
            partitioned_from_group: false,
            partitioned_from_proxies: false,
            lag_us,
            service_time_us,
            accepted_term: Term(0),
            primary_term: None,
            follows: None,
            primary_last_heard_us: None,
            log: Vec::new(),
            connections: BTreeMap::new(),
            running: 0,
        }
    }

    pub fn position(&self) -> Position {
        let term = self.log.last().map_or(Term(0), |entry| entry.term);
        Position::new(term, Lsn(self.log.len() as u64))
    }

    pub fn report(&self, now_us: u64, accepted: bool) -> InstanceReport {
        let is_primary = self.primary_term.is_some();
        let primary_last_heard_us = self.primary_last_heard_us.filter(|_| !is_primary);
        InstanceReport {
            accepted_term: self.accepted_term,
            position: self.position(),
            role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
            primary_heard_ms: primary_last_heard_us.map(|heard_us| (now_us - heard_us) / 1_000),
            accepted,
        }
    }

    /// Performs a call of a proxy. Every call but `Status` carries a term and is refused if the instance
    /// has accepted a higher one. `index_of` maps an address to the index of an instance.
    pub fn call(
        &mut self,
        operation: InstanceOperation,
        now_us: u64,
        index_of: impl Fn(std::net::SocketAddr) -> usize,
    ) -> InstanceReport {
        let term = match operation {
            InstanceOperation::Status => return self.report(now_us, true),
            InstanceOperation::AcceptTerm(term) | InstanceOperation::Promote(term) => term,
            InstanceOperation::Follow { term, .. } => term,
        };
        if term < self.accepted_term {
            return self.report(now_us, false);
        }
        self.accepted_term = term;
        if self.primary_term.is_some_and(|own| own < term) {
            self.step_down();
        }
        match operation {
            InstanceOperation::Promote(term) if self.primary_term != Some(term) => {
                self.primary_term = Some(term);
                self.follows = None;
                self.log.push(LogEntry { term, writes: Vec::new() });
            }
            InstanceOperation::Follow { primary, .. } if self.primary_term != Some(term) => {
                let follows = Some((term, index_of(primary)));
                if self.follows != follows {
                    self.primary_last_heard_us = None;
                }
                self.follows = follows;
            }
            _ => {}
        }
        self.report(now_us, true)
    }

    /// Demotes the instance to a replica and fails its open transactions.
    fn step_down(&mut self) {
        self.primary_term = None;
        self.primary_last_heard_us = None;
        for session in self.connections.values_mut() {
            session.failed |= session.transaction.is_some();
        }
    }

    /// Restarts the instance after a crash. Only the log and the accepted term are durable.
    pub fn restart(&mut self) {
        self.up = true;
        self.primary_term = None;
        self.follows = None;
        self.primary_last_heard_us = None;
        self.connections.clear();
        self.running = 0;
    }

    /// Returns the numbers of the committed writes of a session and of its uncommitted `own` ones.
    pub fn visible(&self, session: u32, own: &[WriteId]) -> Vec<u32> {
        let committed = self.log.iter().flat_map(|entry| &entry.writes);
        let all = committed.chain(own).filter(|write| write.session == session);
        all.map(|write| write.number).collect()
    }
}
