//! Queue of the deadlines of one table's entities.

use std::collections::{BTreeMap, BTreeSet};

/// Deadlines of the entities in one table, at most one per entity.
///
/// A system takes the keys whose deadline has passed instead of scanning its table, so the cost of
/// a tick depends on the work that is due and not on the size of the fleet.
#[derive(Debug)]
pub(crate) struct TimerQueue<K> {
    by_time: BTreeSet<(u64, K)>,
    by_key: BTreeMap<K, u64>,
}

impl<K: Copy + Ord> TimerQueue<K> {
    pub(crate) fn new() -> Self {
        Self { by_time: BTreeSet::new(), by_key: BTreeMap::new() }
    }

    /// Sets the deadline of an entity, replacing any previous one.
    pub(crate) fn set(&mut self, key: K, due_us: u64) {
        self.cancel(key);
        self.by_key.insert(key, due_us);
        self.by_time.insert((due_us, key));
    }

    /// Sets the deadline of an entity unless it already has an earlier one.
    pub(crate) fn set_if_earlier(&mut self, key: K, due_us: u64) {
        if self.by_key.get(&key).is_none_or(|&present_us| due_us < present_us) {
            self.set(key, due_us);
        }
    }

    /// Removes the deadline of an entity.
    pub(crate) fn cancel(&mut self, key: K) {
        if let Some(due_us) = self.by_key.remove(&key) {
            self.by_time.remove(&(due_us, key));
        }
    }

    /// Removes and returns the entities whose deadline has been reached, in order of their
    /// deadlines.
    pub(crate) fn take_expired(&mut self, now_us: u64) -> Vec<K> {
        let mut due = Vec::new();
        while let Some(&(due_us, key)) = self.by_time.first() {
            if due_us > now_us {
                break;
            }
            self.cancel(key);
            due.push(key);
        }
        due
    }

    /// The earliest deadline.
    pub(crate) fn next_us(&self) -> Option<u64> {
        self.by_time.first().map(|&(due_us, _)| due_us)
    }
}
