//! Deadlines of sockets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mio::Token;

/// Queue of the deadlines of one thread's sockets. Entries cannot be removed: when one is due, the
/// socket checks it against its current deadline.
#[derive(Debug, Default)]
pub struct Deadlines {
    heap: BinaryHeap<Reverse<(u64, Token)>>,
}

impl Deadlines {
    /// Adds a deadline.
    pub fn add(&mut self, deadline_us: u64, token: Token) {
        self.heap.push(Reverse((deadline_us, token)));
    }

    /// Adds a deadline, if there is one.
    pub fn extend(&mut self, deadline_us: Option<u64>, token: Token) {
        self.heap.extend(deadline_us.map(|deadline_us| Reverse((deadline_us, token))));
    }

    /// The earliest deadline.
    #[must_use]
    pub fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((deadline_us, _))| *deadline_us)
    }

    /// Removes one entry whose deadline has passed and returns its socket.
    pub fn pop_due(&mut self, now_us: u64) -> Option<Token> {
        if self.next_us()? > now_us {
            return None;
        }
        self.heap.pop().map(|Reverse((_, token))| token)
    }
}
