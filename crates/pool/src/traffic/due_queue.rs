//! Keys by the time at which they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Deadlines of entities. An entry is never withdrawn: when it comes due, the entity compares it with
/// the deadline that it holds at that time.
#[derive(Debug)]
pub struct DueQueue<K> {
    heap: BinaryHeap<Reverse<(u64, K)>>,
}

impl<K: Ord + Copy> DueQueue<K> {
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new() }
    }

    pub fn add(&mut self, due_us: u64, key: K) {
        self.heap.push(Reverse((due_us, key)));
    }

    pub fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((due_us, _))| *due_us)
    }

    pub fn pop_due(&mut self, now_us: u64) -> Option<K> {
        if self.next_us()? > now_us {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
