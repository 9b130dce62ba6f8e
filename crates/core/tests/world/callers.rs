//! Callers in a closed loop: each waits for its answer, thinks, and goes on, now and then at another
//! host.

use bytes::Bytes;
use flamingorock_core::traffic::{self, CallerRequest, SessionParameters};
use flamingorock_core::{
    CallerKey, RankIndex, ResultClass, ResultCode, StatementKind, TransactionStatus,
};

use super::history::{Fate, History};
use super::instance::Effect;
use super::{CALLER_HOP_US, Happening, World};

/// What callers do, in percent of their operations; the rest are single writes.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub read_percent: u64,
    pub transaction_percent: u64,
    /// Share of operations after which the caller connects to another host.
    pub roam_percent: u64,
}

impl Default for Mix {
    fn default() -> Self {
        Self { read_percent: 50, transaction_percent: 15, roam_percent: 5 }
    }
}

/// What a caller receives.
#[derive(Clone, Debug)]
pub enum Reply {
    Answer {
        answer: Bytes,
        status: TransactionStatus,
    },
    Refused {
        code: ResultCode,
        status: TransactionStatus,
    },
    /// The host has closed the connection because it shuts down.
    Closed {
        at_us: u64,
    },
    /// The host has died.
    Disconnected,
    /// The caller has waited too long and gives up.
    GaveUp {
        operation: u32,
    },
}

/// What a caller waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    Idle,
    Read,
    Write(u32),
    Begin,
    InTransaction(Vec<u32>),
    Commit(Vec<u32>),
    /// The transaction has failed and is being rolled back.
    Rollback,
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller {
    pub number: u32,
    pub database: usize,
    pub host: usize,
    pub key: Option<CallerKey>,
    /// Rises with each connection, so that a reply to an earlier one is dropped.
    pub connection: u64,
    pub operation: Operation,
    pub operations: u32,
    /// When the operation in flight was sent.
    pub sent_us: u64,
    pub writes: u32,
    pub stopped: bool,
}

/// Time after which a caller gives up waiting.
const PATIENCE_US: u64 = 8_000_000;

impl Caller {
    pub fn new(number: u32, database: usize, host: usize) -> Self {
        Self {
            number,
            database,
            host,
            key: None,
            connection: 0,
            operation: Operation::Idle,
            operations: 0,
            sent_us: 0,
            writes: 0,
            stopped: false,
        }
    }
}

impl World {
    /// Lets a caller connect or start its next operation.
    pub(super) fn step_caller(&mut self, number: u32) {
        let caller = &self.callers[number as usize];
        if caller.operation != Operation::Idle || (caller.stopped && caller.key.is_none()) {
            return;
        }
        let Some(key) = caller.key else {
            self.connect_caller(number);
            return;
        };
        if caller.stopped {
            return;
        }
        if self.random.percent(self.settings.mix.roam_percent) {
            self.disconnect(number, key);
            self.callers[number as usize].host =
                self.random.below(self.hosts.len() as u64) as usize;
            self.schedule(self.now_us + 1_000, Happening::Caller { caller: number });
            return;
        }
        let choice = self.random.below(100);
        let mix = self.settings.mix;
        let caller = &mut self.callers[number as usize];
        if choice < mix.read_percent {
            caller.operation = Operation::Read;
            self.send(number, "read", StatementKind::Read, None);
        } else if choice < mix.read_percent + mix.transaction_percent {
            caller.operation = Operation::Begin;
            self.send(number, "begin", StatementKind::Begin, None);
        } else {
            caller.writes += 1;
            let write = caller.writes;
            caller.operation = Operation::Write(write);
            self.send(number, "write", StatementKind::Write, Some(write));
        }
    }

    fn connect_caller(&mut self, number: u32) {
        let caller = &self.callers[number as usize];
        let database = self.database_ids[caller.database];
        let index = caller.host;
        let host = &mut self.hosts[index];
        let admitted = host.alive
            && host.paused_until_us <= self.now_us
            && match host.traffic.open_caller(SessionParameters { database }) {
                Ok(key) => {
                    host.callers.insert(key, number);
                    let caller = &mut self.callers[number as usize];
                    caller.key = Some(key);
                    caller.connection += 1;
                    true
                }
                Err(_) => false,
            };
        if !admitted {
            self.callers[number as usize].host =
                self.random.below(self.hosts.len() as u64) as usize;
        }
        let at_us = self.now_us + if admitted { 2 * CALLER_HOP_US } else { 50_000 };
        self.schedule(at_us, Happening::Caller { caller: number });
    }

    /// Closes a caller's connection from its own side.
    fn disconnect(&mut self, number: u32, key: CallerKey) {
        let host = self.callers[number as usize].host;
        let caller = &mut self.callers[number as usize];
        caller.key = None;
        caller.connection += 1;
        if self.hosts[host].callers.remove(&key).is_some() {
            let incarnation = self.hosts[host].incarnation;
            let event = traffic::Event::CallerClosed { caller: key };
            self.send_to_traffic(host, incarnation, CALLER_HOP_US, event);
        }
    }

    fn send(&mut self, number: u32, verb: &str, kind: StatementKind, write: Option<u32>) {
        let (max_staleness_us, now_us) = (self.settings.max_staleness_us, self.now_us);
        let caller = &mut self.callers[number as usize];
        caller.operations += 1;
        caller.sent_us = now_us;
        let (operation, connection, host) = (caller.operations, caller.connection, caller.host);
        let Some(key) = caller.key else { return };
        let mut text = format!("{verb} {number} {operation}");
        if let Some(write) = write {
            text += &format!(" {write}");
        }
        let request = CallerRequest {
            kind,
            rank: RankIndex(1),
            max_staleness_us: if kind == StatementKind::Read { max_staleness_us } else { 0 },
            deadline_us: None,
            payload: text.into_bytes().into(),
        };
        let incarnation = self.hosts[host].incarnation;
        let event = traffic::Event::RequestReceived { caller: key, request };
        self.send_to_traffic(host, incarnation, CALLER_HOP_US, event);
        let at_us = self.now_us + PATIENCE_US;
        let reply = Reply::GaveUp { operation };
        self.schedule(at_us, Happening::Answer { caller: number, connection, reply });
    }

    /// Hands a reply to a caller.
    pub(super) fn answer_caller(&mut self, number: u32, connection: u64, reply: Reply) {
        let caller = &self.callers[number as usize];
        if caller.connection != connection {
            return;
        }
        match reply {
            Reply::Answer { answer, status } => self.take_answer(number, &answer, status),
            Reply::Refused { code, status } => {
                *self.history.refusals.entry(code).or_default() += 1;
                self.take_refusal(number, History::fate_of(code), code.class(), status);
            }
            Reply::Closed { at_us } => {
                let arrived_us = caller.sent_us + CALLER_HOP_US;
                if caller.operation != Operation::Idle && arrived_us <= at_us {
                    let text = format!("{}: caller {number} is cut by a shutdown", self.now_us);
                    self.history.violations.push(text);
                }
                // A request that crossed the close on its way was refused as not run.
                let (fate, class) = (Fate::NotRun, ResultClass::NotRun);
                self.take_refusal(number, fate, class, TransactionStatus::Idle);
                self.lose_connection(number);
            }
            Reply::Disconnected => self.lose_connection(number),
            Reply::GaveUp { operation } => {
                if caller.operations == operation && caller.operation != Operation::Idle {
                    self.lose_connection(number);
                }
            }
        }
    }

    fn take_answer(&mut self, number: u32, answer: &Bytes, status: TransactionStatus) {
        let text = String::from_utf8_lossy(answer).into_owned();
        let (echo, body) = text.split_once('|').expect("an echo and a body");
        let caller = &self.callers[number as usize];
        if echo != format!("{number}.{}", caller.operations) {
            let text = format!("{}: caller {number} gets the answer to {echo}", self.now_us);
            self.history.violations.push(text);
            return;
        }
        if body == "error" {
            self.take_refusal(number, Fate::NotRun, ResultClass::RolledBack, status);
            return;
        }
        let body = body.to_owned();
        self.advance_operation(number, &body);
    }

    fn advance_operation(&mut self, number: u32, body: &str) {
        let caller = &mut self.callers[number as usize];
        match caller.operation.clone() {
            Operation::Read => {
                let list = body.trim_matches(['[', ']']).split(", ");
                let visible: Vec<u32> = list.filter_map(|word| word.parse().ok()).collect();
                self.history.check_read(number, &visible, self.now_us);
                self.rest(number);
            }
            Operation::Write(write) => self.settle_writes(number, &[write], Fate::Acknowledged),
            Operation::Begin => self.write_in_transaction(number, Vec::new()),
            Operation::InTransaction(writes) if writes.len() < 2 => {
                self.write_in_transaction(number, writes);
            }
            Operation::InTransaction(writes) => {
                caller.operation = Operation::Commit(writes);
                self.send(number, "commit", StatementKind::EndTransaction, None);
            }
            Operation::Commit(writes) => self.settle_writes(number, &writes, Fate::Acknowledged),
            Operation::Rollback | Operation::Idle => self.rest(number),
        }
    }

    fn write_in_transaction(&mut self, number: u32, mut writes: Vec<u32>) {
        let caller = &mut self.callers[number as usize];
        caller.writes += 1;
        let write = caller.writes;
        writes.push(write);
        caller.operation = Operation::InTransaction(writes);
        self.send(number, "write", StatementKind::Write, Some(write));
    }

    fn take_refusal(
        &mut self,
        number: u32,
        fate: Fate,
        class: ResultClass,
        status: TransactionStatus,
    ) {
        let caller = &mut self.callers[number as usize];
        match caller.operation.clone() {
            Operation::Write(write) => self.settle_writes(number, &[write], fate),
            Operation::Commit(writes) => self.settle_writes(number, &writes, fate),
            Operation::InTransaction(writes) => {
                // A statement within a transaction cannot commit it.
                let fate = match class {
                    ResultClass::OutcomeUnknown => Fate::Unknown,
                    _ => Fate::NotRun,
                };
                self.note_writes(number, &writes, fate);
                self.callers[number as usize].operation = Operation::Rollback;
                if status == TransactionStatus::Idle {
                    self.rest(number);
                } else {
                    self.send(number, "rollback", StatementKind::EndTransaction, None);
                }
            }
            _ => self.rest(number),
        }
    }

    fn settle_writes(&mut self, number: u32, writes: &[u32], fate: Fate) {
        self.note_writes(number, writes, fate);
        if fate == Fate::Acknowledged {
            let database = self.callers[number as usize].database;
            self.history.write_times_us.entry(database).or_default().push(self.now_us);
        }
        self.rest(number);
    }

    fn note_writes(&mut self, number: u32, writes: &[u32], fate: Fate) {
        let effects: Vec<Effect> =
            writes.iter().map(|write| Effect { session: number, number: *write }).collect();
        for effect in &effects {
            self.history.record_write(*effect, fate);
        }
        if effects.len() > 1 {
            self.history.transactions.push(effects);
        }
    }

    /// Handles the loss of a caller's connection: what was under way has an unknown outcome, except
    /// that a transaction without a commit cannot have taken effect.
    fn lose_connection(&mut self, number: u32) {
        self.history.disconnects += 1;
        match self.callers[number as usize].operation.clone() {
            Operation::Write(write) => self.note_writes(number, &[write], Fate::Unknown),
            Operation::Commit(writes) => self.note_writes(number, &writes, Fate::Unknown),
            Operation::InTransaction(writes) => self.note_writes(number, &writes, Fate::NotRun),
            _ => {}
        }
        if let Some(key) = self.callers[number as usize].key {
            self.disconnect(number, key);
        }
        let host = self.random.below(self.hosts.len() as u64) as usize;
        let caller = &mut self.callers[number as usize];
        caller.host = host;
        caller.operation = Operation::Idle;
        self.schedule(self.now_us + 20_000, Happening::Caller { caller: number });
    }

    fn rest(&mut self, number: u32) {
        self.callers[number as usize].operation = Operation::Idle;
        let think_us = self.random.exponential(self.settings.think_us) + 1_000;
        self.schedule(self.now_us + think_us, Happening::Caller { caller: number });
    }
}
