//! A priority queue of timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers by deadline. Timers are never cancelled: when one expires, its handler checks the
/// deadline that the entity holds by then and ignores the timer if that was moved.
#[derive(Debug)]
pub struct TimerQueue<K> {
    heap: BinaryHeap<Reverse<(u64, K)>>,
}

impl<K: Ord + Copy> TimerQueue<K> {
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new() }
    }

    pub fn add(&mut self, deadline_us: u64, key: K) {
        self.heap.push(Reverse((deadline_us, key)));
    }

    pub fn next_deadline_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((deadline_us, _))| *deadline_us)
    }

    pub fn pop_expired(&mut self, now_us: u64) -> Option<K> {
        if self.next_deadline_us()? > now_us {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
