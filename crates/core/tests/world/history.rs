//! What the callers saw, and the checks on it.

use std::collections::{BTreeMap, BTreeSet};

use flamingorock_core::{ResultClass, ResultCode};

use super::instance::{Effect, Entry};

/// What a caller knows of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    Acknowledged,
    NotRun,
    Unknown,
}

/// Everything the callers saw in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub writes: BTreeMap<(u32, u32), Fate>,
    /// Writes of one transaction, which take effect together or not at all.
    pub transactions: Vec<Vec<Effect>>,
    pub violations: Vec<String>,
    pub refusals: BTreeMap<ResultCode, u32>,
    /// Times of acknowledged writes by database.
    pub write_times_us: BTreeMap<usize, Vec<u64>>,
    pub reads: u32,
    pub disconnects: u32,
}

impl History {
    pub fn fate_of(code: ResultCode) -> Fate {
        match code.class() {
            ResultClass::NotRun | ResultClass::RolledBack => Fate::NotRun,
            ResultClass::Done | ResultClass::OutcomeUnknown => Fate::Unknown,
        }
    }

    pub fn record_write(&mut self, effect: Effect, fate: Fate) {
        self.writes.insert((effect.session, effect.number), fate);
    }

    /// Checks a read of a session against what the session knows of its own writes.
    pub fn check_read(&mut self, session: u32, visible: &[u32], now_us: u64) {
        self.reads += 1;
        let unique: BTreeSet<u32> = visible.iter().copied().collect();
        if unique.len() != visible.len() {
            self.violations.push(format!("{now_us}: session {session} reads a doubled write"));
        }
        for (&(_, number), fate) in self.writes.range((session, 0)..=(session, u32::MAX)) {
            let seen = unique.contains(&number);
            if *fate == Fate::Acknowledged && !seen {
                let text = "misses its acknowledged write";
                self.violations.push(format!("{now_us}: session {session} {text} {number}"));
            }
            if *fate == Fate::NotRun && seen {
                let text = "sees its write that was reported as not run";
                self.violations.push(format!("{now_us}: session {session} {text} {number}"));
            }
        }
    }

    /// Checks the log of the true primary at the end of a run.
    pub fn check_log(&mut self, log: &[Entry], sessions: impl Fn(u32) -> bool) {
        let mut counts: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        for effect in log.iter().flat_map(|entry| &entry.effects) {
            *counts.entry((effect.session, effect.number)).or_default() += 1;
        }
        for (key, fate) in self.writes.iter().filter(|((session, _), _)| sessions(*session)) {
            let count = counts.get(key).copied().unwrap_or(0);
            let problem = match fate {
                Fate::Acknowledged if count == 0 => "acknowledged and lost",
                Fate::NotRun if count > 0 => "reported as not run and present",
                _ if count > 1 => "present more than once",
                _ => continue,
            };
            self.violations.push(format!("write {}/{} is {problem}", key.0, key.1));
        }
        for transaction in &self.transactions {
            let of_database = transaction.iter().filter(|effect| sessions(effect.session));
            let present: BTreeSet<bool> = of_database
                .map(|effect| counts.contains_key(&(effect.session, effect.number)))
                .collect();
            if present.len() > 1 {
                self.violations.push(format!("transaction {transaction:?} took effect in part"));
            }
        }
    }

    /// Longest time without an acknowledged write in a database within a span.
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
