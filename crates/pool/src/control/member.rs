//! Other proxies.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

use super::ReplicaSetReport;

/// Another proxy.
#[derive(Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u64,
    /// Whether its record is in the store.
    pub is_listed: bool,
    /// When its record left the store, 0 if it has not.
    pub unlisted_us: u64,
    /// Last heartbeat from it, 0 for none.
    pub heard_us: u64,
    /// Highest sequence heard from it.
    pub heard_sequence: u64,
    /// Sequences and times of the heartbeats sent to it.
    pub sent: VecDeque<(u64, u64)>,
    /// Send time of the newest heartbeat that it has confirmed, 0 for none.
    pub confirmed_us: u64,
    /// Its beliefs, with the time at which they arrived.
    pub reports: Vec<ReplicaSetReport>,
    /// Heartbeat that is sent out of turn.
    pub answer_due_us: Option<u64>,
}

impl Member {
    /// Heartbeats whose send times are kept.
    const SENT_KEPT: usize = 16;
    /// Silence after which a member counts as out of contact.
    const CONTACT_US: u64 = 900_000;

    pub fn new(address: SocketAddr, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            is_listed: false,
            unlisted_us: 0,
            heard_us: 0,
            heard_sequence: 0,
            sent: VecDeque::new(),
            confirmed_us: 0,
            reports: Vec::new(),
            answer_due_us: None,
        }
    }

    pub fn note_sent(&mut self, sequence: u64, now_us: u64) {
        if self.sent.len() == Self::SENT_KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now_us));
    }

    /// Notes that the member has had a heartbeat.
    pub fn confirm(&mut self, sequence: u64) {
        let found = self.sent.iter().find(|(sent, _)| *sent == sequence);
        if let Some((_, sent_us)) = found {
            self.confirmed_us = self.confirmed_us.max(*sent_us);
        }
    }

    pub fn is_in_contact(&self, now_us: u64) -> bool {
        self.heard_us > 0 && now_us < self.heard_us + Self::CONTACT_US
    }

    /// Whether it counts as part of the running fleet.
    pub fn is_present(&self, now_us: u64) -> bool {
        self.is_listed || self.is_in_contact(now_us)
    }

    /// What the member believes of a replica set's primary.
    pub fn report(&self, replica_set: &Bytes) -> Option<&ReplicaSetReport> {
        self.reports.iter().find(|report| report.replica_set == *replica_set)
    }
}
