//! A fake database instance: terms, a log, transactions and faults on switches.

use std::collections::BTreeMap;

use flamingorock_core::control::InstanceOperation;
use flamingorock_core::{InstanceReport, InstanceRole, Lsn, Position, Term};

/// A write of a session. The number is unique, so that lost and doubled writes show.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Effect {
    pub session: u32,
    pub number: u32,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    pub term: Term,
    pub effects: Vec<Effect>,
}

/// A connection of a proxy, identified by host and key.
pub type ConnectionId = (usize, flamingorock_core::ConnectionKey);

#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Writes of the open transaction, if one is open.
    pub transaction: Option<Vec<Effect>>,
    pub failed: bool,
    /// The caller's session whose transaction is open.
    pub user: Option<u32>,
    /// Number of the statement that runs, if one runs.
    pub running: Option<u64>,
    /// Whether the proxy has closed the connection while the statement runs.
    pub closed: bool,
}

#[derive(Clone, Debug)]
pub struct FakeInstance {
    pub up: bool,
    pub paused_until_us: u64,
    pub cut_group: bool,
    pub cut_proxies: bool,
    pub lag_us: u64,
    pub service_time_us: u64,
    pub accepted_term: Term,
    /// Term under which it is primary.
    pub primary_term: Option<Term>,
    /// Term and index of the primary that it follows.
    pub follows: Option<(Term, usize)>,
    pub heard_us: Option<u64>,
    pub log: Vec<Entry>,
    pub connections: BTreeMap<ConnectionId, Session>,
    pub running: u16,
}

impl FakeInstance {
    pub fn new(lag_us: u64, service_time_us: u64) -> Self {
        Self {
            up: true,
            paused_until_us: 0,
            cut_group: false,
            cut_proxies: false,
            lag_us,
            service_time_us,
            accepted_term: Term(0),
            primary_term: None,
            follows: None,
            heard_us: None,
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
        let heard_us = self.heard_us.filter(|_| !is_primary);
        InstanceReport {
            accepted_term: self.accepted_term,
            position: self.position(),
            role: if is_primary { InstanceRole::Primary } else { InstanceRole::Replica },
            primary_heard_ms: heard_us.map(|heard_us| (now_us - heard_us) / 1_000),
            accepted,
        }
    }

    /// Carries out a group call. `index_of` maps an address to an instance's index.
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
                self.log.push(Entry { term, effects: Vec::new() });
            }
            InstanceOperation::Follow { primary, .. } if self.primary_term != Some(term) => {
                let follows = Some((term, index_of(primary)));
                if self.follows != follows {
                    self.heard_us = None;
                }
                self.follows = follows;
            }
            _ => {}
        }
        self.report(now_us, true)
    }

    /// Stops being primary. Open transactions fail.
    fn step_down(&mut self) {
        self.primary_term = None;
        self.heard_us = None;
        for session in self.connections.values_mut() {
            session.failed |= session.transaction.is_some();
        }
    }

    /// Restarts after a crash: the log and the accepted term are kept, all else is lost.
    pub fn restart(&mut self) {
        self.up = true;
        self.primary_term = None;
        self.follows = None;
        self.heard_us = None;
        self.connections.clear();
        self.running = 0;
    }

    /// Numbers of the writes of a session that are visible to a connection.
    pub fn visible(&self, session: u32, own: &[Effect]) -> Vec<u32> {
        let committed = self.log.iter().flat_map(|entry| &entry.effects);
        let all = committed.chain(own).filter(|effect| effect.session == session);
        all.map(|effect| effect.number).collect()
    }
}
