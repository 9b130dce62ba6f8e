//! An index of rows by deadline.

use std::collections::BTreeSet;

/// Rows ordered by deadline. A row may be listed more than once; whoever pops a row compares it with
/// what the row itself says.
#[derive(Clone, Debug)]
pub(crate) struct Deadlines<K> {
    entries: BTreeSet<(u64, K)>,
}

impl<K: Copy + Ord> Deadlines<K> {
    pub(crate) fn new() -> Self {
        Self { entries: BTreeSet::new() }
    }

    pub(crate) fn insert(&mut self, deadline_us: u64, key: K) {
        self.entries.insert((deadline_us, key));
    }

    pub(crate) fn remove(&mut self, deadline_us: u64, key: K) {
        self.entries.remove(&(deadline_us, key));
    }

    /// Removes and returns one row whose deadline has been reached.
    pub(crate) fn pop_due(&mut self, now_us: u64) -> Option<K> {
        let &(deadline_us, key) = self.entries.first()?;
        if deadline_us > now_us {
            return None;
        }
        self.entries.pop_first();
        Some(key)
    }

    pub(crate) fn next_us(&self) -> Option<u64> {
        self.entries.first().map(|&(deadline_us, _)| deadline_us)
    }
}
