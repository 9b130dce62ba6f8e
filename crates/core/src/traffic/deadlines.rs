//! A queue of rows ordered by deadline.

use std::collections::BTreeSet;

/// Keys ordered by deadline. A key may be present several times, so code that pops a key checks it
/// against the state of its row.
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

    /// Removes and returns the earliest key if its deadline has been reached.
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
