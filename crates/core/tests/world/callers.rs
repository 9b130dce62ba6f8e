//! Simulated callers in a closed loop: each waits for the reply to its request, pauses for a think time
//! and sends the next request. Some of them reconnect to another host in between.

use bytes::Bytes;
use flamingorock_core::traffic::{self, CallerRequest, SessionParameters};
use flamingorock_core::{
    CallerKey, RankIndex, ResultClass, ResultCode, StatementKind, TransactionStatus,
};

use super::history::{History, WriteOutcome};
use super::instance::WriteId;
use super::{CALLER_LATENCY_US, ScheduledEvent, World};

/// Operations of the callers, in percent. What `read_percent` and `transaction_percent` leave are single
/// writes.
#[derive(Clone, Copy, Debug)]
pub struct OperationMix {
    pub read_percent: u64,
    pub transaction_percent: u64,
    /// Probability that a caller, instead of starting an operation, reconnects to a random host.
    pub reconnect_percent: u64,
}

impl Default for OperationMix {
    fn default() -> Self {
        Self { read_percent: 50, transaction_percent: 15, reconnect_percent: 5 }
    }
}

/// How a request or a connection ends for a caller.
#[derive(Clone, Debug)]
pub enum Reply {
    Response {
        response: Bytes,
        status: TransactionStatus,
    },
    Refused {
        code: ResultCode,
        status: TransactionStatus,
    },
    /// The host closed the connection at `at_us` because it shuts down.
    Closed {
        at_us: u64,
    },
    /// The host was killed.
    Disconnected,
    /// `REPLY_TIMEOUT_US` passed without a reply to this operation.
    TimedOut {
        operation: u32,
    },
}

/// The operation that a caller waits for, with the numbers of its writes.
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

/// A caller and its connection to a host.
#[derive(Clone, Debug)]
pub struct Caller {
    pub number: u32,
    pub database: usize,
    pub host: usize,
    pub key: Option<CallerKey>,
    /// Incremented when a connection is opened or closed. A reply that carries an older number is
    /// dropped.
    pub connection: u64,
    pub operation: Operation,
    pub operations: u32,
    /// When the operation in flight was sent.
    pub sent_us: u64,
    pub writes: u32,
    pub stopped: bool,
}

/// Time without a reply after which a caller closes its connection.
const REPLY_TIMEOUT_US: u64 = 8_000_000;

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
    /// Connects a caller that has no connection, or starts the next operation of an idle one.
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
        if self.random.chance(self.settings.mix.reconnect_percent) {
            self.disconnect(number, key);
            self.callers[number as usize].host =
                self.random.below(self.hosts.len() as u64) as usize;
            self.schedule(self.now_us + 1_000, ScheduledEvent::Caller { caller: number });
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
        let at_us = self.now_us + if admitted { 2 * CALLER_LATENCY_US } else { 50_000 };
        self.schedule(at_us, ScheduledEvent::Caller { caller: number });
    }

    /// Closes a connection on the caller's side.
    fn disconnect(&mut self, number: u32, key: CallerKey) {
        let host = self.callers[number as usize].host;
        let caller = &mut self.callers[number as usize];
        caller.key = None;
        caller.connection += 1;
        if self.hosts[host].callers.remove(&key).is_some() {
            let incarnation = self.hosts[host].incarnation;
            let event = traffic::Event::CallerClosed { caller: key };
            self.send_to_traffic(host, incarnation, CALLER_LATENCY_US, event);
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
        self.send_to_traffic(host, incarnation, CALLER_LATENCY_US, event);
        let at_us = self.now_us + REPLY_TIMEOUT_US;
        let reply = Reply::TimedOut { operation };
        self.schedule(at_us, ScheduledEvent::Reply { caller: number, connection, reply });
    }

    /// Delivers a reply to a caller unless its connection has been replaced.
    pub(super) fn deliver_reply(&mut self, number: u32, connection: u64, reply: Reply) {
        let caller = &self.callers[number as usize];
        if caller.connection != connection {
            return;
        }
        match reply {
            Reply::Response { response, status } => self.handle_response(number, &response, status),
            Reply::Refused { code, status } => {
                *self.history.refusals.entry(code).or_default() += 1;
                self.handle_refusal(number, History::write_outcome(code), code.class(), status);
            }
            Reply::Closed { at_us } => {
                let arrived_us = caller.sent_us + CALLER_LATENCY_US;
                if caller.operation != Operation::Idle && arrived_us <= at_us {
                    let text =
                        format!("{}: caller {number} loses its request to a shutdown", self.now_us);
                    self.history.violations.push(text);
                }
                // A request that was still on its way when the host closed the connection has not run.
                let (outcome, class) = (WriteOutcome::NotRun, ResultClass::NotRun);
                self.handle_refusal(number, outcome, class, TransactionStatus::Idle);
                self.handle_connection_loss(number);
            }
            Reply::Disconnected => self.handle_connection_loss(number),
            Reply::TimedOut { operation } => {
                if caller.operations == operation && caller.operation != Operation::Idle {
                    self.handle_connection_loss(number);
                }
            }
        }
    }

    fn handle_response(&mut self, number: u32, response: &Bytes, status: TransactionStatus) {
        let text = String::from_utf8_lossy(response).into_owned();
        let (echo, body) = text.split_once('|').expect("a response has an echo and a body");
        let caller = &self.callers[number as usize];
        if echo != format!("{number}.{}", caller.operations) {
            let text = format!("{}: caller {number} receives the reply to {echo}", self.now_us);
            self.history.violations.push(text);
            return;
        }
        if body == "error" {
            self.handle_refusal(number, WriteOutcome::NotRun, ResultClass::RolledBack, status);
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
                self.schedule_next_operation(number);
            }
            Operation::Write(write) => {
                self.complete_writes(number, &[write], WriteOutcome::Acknowledged)
            }
            Operation::Begin => self.write_in_transaction(number, Vec::new()),
            Operation::InTransaction(writes) if writes.len() < 2 => {
                self.write_in_transaction(number, writes);
            }
            Operation::InTransaction(writes) => {
                caller.operation = Operation::Commit(writes);
                self.send(number, "commit", StatementKind::EndTransaction, None);
            }
            Operation::Commit(writes) => {
                self.complete_writes(number, &writes, WriteOutcome::Acknowledged)
            }
            Operation::Rollback | Operation::Idle => self.schedule_next_operation(number),
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

    fn handle_refusal(
        &mut self,
        number: u32,
        outcome: WriteOutcome,
        class: ResultClass,
        status: TransactionStatus,
    ) {
        let caller = &mut self.callers[number as usize];
        match caller.operation.clone() {
            Operation::Write(write) => self.complete_writes(number, &[write], outcome),
            Operation::Commit(writes) => self.complete_writes(number, &writes, outcome),
            Operation::InTransaction(writes) => {
                // Only the end of the transaction can commit, so a failed statement leaves nothing
                // committed unless its result is unknown.
                let outcome = match class {
                    ResultClass::OutcomeUnknown => WriteOutcome::Unknown,
                    _ => WriteOutcome::NotRun,
                };
                self.record_writes(number, &writes, outcome);
                self.callers[number as usize].operation = Operation::Rollback;
                if status == TransactionStatus::Idle {
                    self.schedule_next_operation(number);
                } else {
                    self.send(number, "rollback", StatementKind::EndTransaction, None);
                }
            }
            _ => self.schedule_next_operation(number),
        }
    }

    fn complete_writes(&mut self, number: u32, writes: &[u32], outcome: WriteOutcome) {
        self.record_writes(number, writes, outcome);
        if outcome == WriteOutcome::Acknowledged {
            let database = self.callers[number as usize].database;
            self.history.write_times_us.entry(database).or_default().push(self.now_us);
        }
        self.schedule_next_operation(number);
    }

    fn record_writes(&mut self, number: u32, writes: &[u32], outcome: WriteOutcome) {
        let write_ids: Vec<WriteId> =
            writes.iter().map(|write| WriteId { session: number, number: *write }).collect();
        for write_id in &write_ids {
            self.history.record_write(*write_id, outcome);
        }
        if write_ids.len() > 1 {
            self.history.transactions.push(write_ids);
        }
    }

    /// Handles the loss of a caller's connection and reconnects to a random host. The outcome of a write
    /// or commit in flight is unknown; a transaction whose commit was not sent cannot have taken effect.
    fn handle_connection_loss(&mut self, number: u32) {
        self.history.disconnects += 1;
        match self.callers[number as usize].operation.clone() {
            Operation::Write(write) => self.record_writes(number, &[write], WriteOutcome::Unknown),
            Operation::Commit(writes) => self.record_writes(number, &writes, WriteOutcome::Unknown),
            Operation::InTransaction(writes) => {
                self.record_writes(number, &writes, WriteOutcome::NotRun)
            }
            _ => {}
        }
        if let Some(key) = self.callers[number as usize].key {
            self.disconnect(number, key);
        }
        let host = self.random.below(self.hosts.len() as u64) as usize;
        let caller = &mut self.callers[number as usize];
        caller.host = host;
        caller.operation = Operation::Idle;
        self.schedule(self.now_us + 20_000, ScheduledEvent::Caller { caller: number });
    }

    fn schedule_next_operation(&mut self, number: u32) {
        self.callers[number as usize].operation = Operation::Idle;
        let think_time_us = self.random.exponential(self.settings.think_time_us) + 1_000;
        self.schedule(self.now_us + think_time_us, ScheduledEvent::Caller { caller: number });
    }
}
