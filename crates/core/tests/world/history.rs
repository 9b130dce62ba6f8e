//! The callers' recorded history and the consistency checks on it.

use std::collections::{BTreeMap, BTreeSet};

use flamingorock_core::{ResultClass, ResultCode};

use super::instance::{LogEntry, WriteId};

/// The outcome of a write as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    Acknowledged,
    NotRun,
    Unknown,
}

/// The results that the callers observed in a run, and the violations found.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub writes: BTreeMap<(u32, u32), WriteOutcome>,
    /// The writes of each transaction. They must take effect together or not at all.
    pub transactions: Vec<Vec<WriteId>>,
    pub violations: Vec<String>,
    pub refusals: BTreeMap<ResultCode, u32>,
    /// Times of the acknowledged writes of each database, in ascending order.
    pub write_times_us: BTreeMap<usize, Vec<u64>>,
    pub reads: u32,
    pub disconnects: u32,
}

impl History {
    pub fn write_outcome(code: ResultCode) -> WriteOutcome {
        match code.class() {
            ResultClass::NotRun | ResultClass::RolledBack => WriteOutcome::NotRun,
            ResultClass::Done | ResultClass::OutcomeUnknown => WriteOutcome::Unknown,
        }
    }

    pub fn record_write(&mut self, write: WriteId, outcome: WriteOutcome) {
        self.writes.insert((write.session, write.number), outcome);
    }

    /// Checks that a read sees every acknowledged write of its own session exactly once, and none that was
    /// reported as not run.
    pub fn check_read(&mut self, session: u32, visible: &[u32], now_us: u64) {
        self.reads += 1;
        let unique: BTreeSet<u32> = visible.iter().copied().collect();
        if unique.len() != visible.len() {
            self.violations.push(format!("{now_us}: session {session} reads a duplicate write"));
        }
        for (&(_, number), outcome) in self.writes.range((session, 0)..=(session, u32::MAX)) {
            let seen = unique.contains(&number);
            if *outcome == WriteOutcome::Acknowledged && !seen {
                let text = "misses its acknowledged write";
                self.violations.push(format!("{now_us}: session {session} {text} {number}"));
            }
            if *outcome == WriteOutcome::NotRun && seen {
                let text = "sees its write that was reported as not run";
                self.violations.push(format!("{now_us}: session {session} {text} {number}"));
            }
        }
    }

    /// Checks the log of the last primary of a database at the end of a run. `sessions` selects the
    /// sessions of that database.
    pub fn check_log(&mut self, log: &[LogEntry], sessions: impl Fn(u32) -> bool) {
        let mut counts: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        for write in log.iter().flat_map(|entry| &entry.writes) {
            *counts.entry((write.session, write.number)).or_default() += 1;
        }
        for (key, outcome) in self.writes.iter().filter(|((session, _), _)| sessions(*session)) {
            let count = counts.get(key).copied().unwrap_or(0);
            let problem = match outcome {
                WriteOutcome::Acknowledged if count == 0 => "acknowledged and lost",
                WriteOutcome::NotRun if count > 0 => "reported as not run and present",
                _ if count > 1 => "present more than once",
                _ => continue,
            };
            self.violations.push(format!("write {}/{} is {problem}", key.0, key.1));
        }
        for transaction in &self.transactions {
            let of_database = transaction.iter().filter(|write| sessions(write.session));
            let present: BTreeSet<bool> = of_database
                .map(|write| counts.contains_key(&(write.session, write.number)))
                .collect();
            if present.len() > 1 {
                self.violations.push(format!("transaction {transaction:?} took effect in part"));
            }
        }
    }

    /// Returns the longest time without an acknowledged write in a database between two points in time.
    pub fn longest_gap_us(&self, database: usize, from_us: u64, to_us: u64) -> u64 {
        let times = self.write_times_us.get(&database).map(Vec::as_slice).unwrap_or_default();
        let within = times.iter().copied().filter(|time| (from_us..=to_us).contains(time));
        let mut last_us = from_us;
        let mut longest_us = 0;
        for time_us in within.chain([to_us]) {
            longest_us = longest_us.max(time_us - last_us);
            last_us = time_us;
        }
        longest_us
    }
}
