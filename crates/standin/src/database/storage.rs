//! Durable part of an instance: accepted term, log and the tables that result from the log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::table::{Changes, Tables};

/// One committed transaction, or the empty entry of a promotion.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Entry {
    pub(crate) term: u64,
    pub(crate) changes: Changes,
}

/// Last entry of a term in a log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TermEnd {
    pub(crate) term: u64,
    pub(crate) lsn: u64,
}

/// What an instance keeps on its disk; an instance that starts with it resumes where it stopped.
#[derive(Debug, Default)]
pub struct Storage {
    pub(crate) accepted_term: u64,
    /// Entry `n` of the log has the log sequence number `n + 1`.
    pub(crate) log: Vec<Arc<Entry>>,
    pub(crate) tables: Tables,
}

impl Storage {
    pub(crate) fn lsn(&self) -> u64 {
        self.log.len() as u64
    }

    pub(crate) fn log_term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }

    pub(crate) fn append(&mut self, entry: Arc<Entry>) {
        self.tables.apply(&entry.changes);
        self.log.push(entry);
    }

    /// Drops all entries after `lsn` and builds the tables again from those that remain.
    pub(crate) fn truncate(&mut self, lsn: u64) {
        if lsn >= self.lsn() {
            return;
        }
        self.log.truncate(usize::try_from(lsn).unwrap_or(usize::MAX));
        self.tables = Tables::default();
        for entry in &self.log {
            self.tables.apply(&entry.changes);
        }
    }

    /// Last entry of each term in the log.
    pub(crate) fn term_ends(&self) -> Vec<TermEnd> {
        let mut ends: Vec<TermEnd> = Vec::new();
        for (entry, lsn) in self.log.iter().zip(1..) {
            match ends.last_mut() {
                Some(end) if end.term == entry.term => end.lsn = lsn,
                _ => ends.push(TermEnd { term: entry.term, lsn }),
            }
        }
        ends
    }

    /// Length of the part that this log shares with another one. Only one instance writes entries of
    /// a term, so logs that both have entries of a term agree up to the shorter end of that term.
    pub(crate) fn common_lsn(&self, other: &[TermEnd]) -> u64 {
        let mut common = 0;
        for end in other {
            let first_later = self.log.partition_point(|entry| entry.term <= end.term) as u64;
            let own_end = first_later.checked_sub(1).and_then(|index| {
                let index = usize::try_from(index).ok()?;
                (self.log[index].term == end.term).then_some(first_later)
            });
            let Some(own_end) = own_end else { return common };
            common = own_end.min(end.lsn);
            if common < end.lsn {
                return common;
            }
        }
        common
    }
}
