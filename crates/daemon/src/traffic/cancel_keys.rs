//! Cancel keys, which authorize a cancel request for a caller's session.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, RandomState};

use flamingorock_core::HostId;
use flamingorock_peer::CallerCancel;

use crate::net::CallerSocketKey;

/// Cancel keys that one traffic thread has issued. The first half of a key holds the host (16
/// bits), the thread (8 bits) and 8 random bits; the second half is random. If the load balancer
/// routes a cancel request to another host or thread, the key tells where to forward it, over the
/// links that carry requests.
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

    /// Generates a key. Its random bits are the keyed hash of a counter; the hash key comes from
    /// the system's random numbers.
    fn generate(&mut self) -> CallerCancel {
        self.counter += 1;
        let random = self.random.hash_one(self.counter);
        let origin = u32::from(self.host.0) << 16 | u32::from(self.thread) << 8;
        let process_id = (origin | (random >> 32) as u32 & 0xff).cast_signed();
        CallerCancel { process_id, secret: (random as u32).cast_signed() }
    }

    /// Revokes a key at the end of its session.
    pub fn revoke(&mut self, key: &CallerCancel) {
        self.issued.remove(key);
    }

    /// Socket of the caller that a key was issued to; `None` if it is unknown or revoked.
    #[must_use]
    pub fn find(&self, key: &CallerCancel) -> Option<CallerSocketKey> {
        self.issued.get(key).copied()
    }

    /// Host and traffic thread that issued a key, as encoded in it. A forged key can name ones that
    /// do not exist.
    #[must_use]
    pub fn issuer(key: &CallerCancel) -> (HostId, u8) {
        let [host_high, host_low, thread, _] = key.process_id.to_be_bytes();
        (HostId(u16::from_be_bytes([host_high, host_low])), thread)
    }
}
