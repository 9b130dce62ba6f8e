//! Keys by which callers cancel their requests.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, RandomState};

use flamingorock_core::HostId;
use flamingorock_peer::CallerCancel;

use crate::net::CallerSocketKey;

/// Keys that one traffic thread has issued. The first half of a key holds the host (16 bits), the
/// thread (8 bits) and 8 random bits; the second half is random. A cancel request that the balancer
/// brings to another host or thread is therefore passed on over a link that exists anyway.
#[derive(Debug)]
pub struct CancelKeys {
    host: HostId,
    thread: u8,
    random: RandomState,
    counter: u64,
    issued: HashMap<CallerCancel, CallerSocketKey>,
}

impl CancelKeys {
    /// Creates the table of a traffic thread.
    #[must_use]
    pub fn new(host: HostId, thread: u8) -> Self {
        Self { host, thread, random: RandomState::new(), counter: 0, issued: HashMap::new() }
    }

    /// Issues a key to a caller.
    pub fn issue(&mut self, caller: CallerSocketKey) -> CallerCancel {
        loop {
            let key = self.generate();
            if let Entry::Vacant(entry) = self.issued.entry(key) {
                entry.insert(caller);
                return key;
            }
        }
    }

    /// Bits come from a hash function that the system's random numbers key.
    fn generate(&mut self) -> CallerCancel {
        self.counter += 1;
        let random = self.random.hash_one(self.counter);
        let origin = u32::from(self.host.0) << 16 | u32::from(self.thread) << 8;
        let process_id = (origin | (random >> 32) as u32 & 0xff).cast_signed();
        CallerCancel { process_id, secret: (random as u32).cast_signed() }
    }

    /// Withdraws a key.
    pub fn withdraw(&mut self, key: &CallerCancel) {
        self.issued.remove(key);
    }

    /// The caller that a key was issued to.
    #[must_use]
    pub fn find(&self, key: &CallerCancel) -> Option<CallerSocketKey> {
        self.issued.get(key).copied()
    }

    /// Host and traffic thread that issued a key.
    #[must_use]
    pub fn origin(key: &CallerCancel) -> (HostId, u8) {
        let [host_high, host_low, thread, _] = key.process_id.to_be_bytes();
        (HostId(u16::from_be_bytes([host_high, host_low])), thread)
    }
}
