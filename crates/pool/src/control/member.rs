//! Other proxies of the fleet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

use super::ReplicaSetReport;

/// A report of another proxy about a replica set.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    pub received_us: u64,
    pub report: ReplicaSetReport,
}

impl ReceivedReport {
    /// When the other proxy last had contact with the primary.
    pub fn primary_seen_us(&self) -> u64 {
        self.received_us.saturating_sub(u64::from(self.report.primary_silent_ms) * 1000)
    }
}

/// What this proxy knows about another proxy.
#[derive(Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u64,
    /// Whether the store has the member's record.
    pub is_registered: bool,
    /// When the member's record was removed from the store, 0 if it was not.
    pub unregistered_us: u64,
    /// Arrival of the member's last heartbeat, 0 if none has arrived.
    pub last_heartbeat_us: u64,
    /// Highest sequence number among the member's heartbeats.
    pub last_sequence: u64,
    /// Sequence numbers and send times of the latest heartbeats to the member.
    pub sent_heartbeats: VecDeque<(u64, u64)>,
    /// Send time of the newest heartbeat that the member has echoed, 0 if none.
    pub confirmed_us: u64,
    /// Epoch of the membership that the member's last heartbeat named, and when it was first named.
    pub epoch: u64,
    pub epoch_us: u64,
    /// Whether the member's last heartbeat said that it cannot reach the store.
    pub is_store_unreachable: bool,
    /// The member's last report about each replica set that it has reported on lately.
    pub reports: Vec<ReceivedReport>,
    /// Version of this proxy's knowledge of the replica sets that the member has confirmed.
    pub confirmed_sets_version: u64,
    /// Version of the member's knowledge that this proxy has received.
    pub received_sets_version: u64,
    /// When to send the member a heartbeat outside the regular interval.
    pub extra_heartbeat_due_us: Option<u64>,
}

impl Member {
    /// Number of sent heartbeats to remember for matching echoes.
    const SENT_HEARTBEATS_KEPT: usize = 16;
    /// Time for which a report is kept.
    const REPORT_VALID_US: u64 = 5_000_000;
    /// Time without a heartbeat after which a member is out of contact.
    const CONTACT_TIMEOUT_US: u64 = 900_000;

    pub fn new(address: SocketAddr, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            is_registered: false,
            unregistered_us: 0,
            last_heartbeat_us: 0,
            last_sequence: 0,
            sent_heartbeats: VecDeque::new(),
            confirmed_us: 0,
            epoch: 0,
            epoch_us: 0,
            is_store_unreachable: false,
            reports: Vec::new(),
            confirmed_sets_version: 0,
            received_sets_version: 0,
            extra_heartbeat_due_us: None,
        }
    }

    /// The row of a later run of the same proxy. When the earlier run was heard is kept: others may
    /// still count on it.
    pub fn restarted(&self, address: SocketAddr, incarnation: u64) -> Self {
        Self {
            is_registered: self.is_registered,
            unregistered_us: self.unregistered_us,
            last_heartbeat_us: self.last_heartbeat_us,
            ..Self::new(address, incarnation)
        }
    }

    /// Records the epoch of the membership that a heartbeat of the member names.
    pub fn record_epoch(&mut self, epoch: u64, now_us: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.epoch_us = now_us;
        }
    }

    /// When the member was last registered or heard, if it is neither now.
    pub fn departed_us(&self) -> u64 {
        self.unregistered_us.max(self.last_heartbeat_us)
    }

    pub fn record_sent(&mut self, sequence: u64, now_us: u64) {
        if self.sent_heartbeats.len() == Self::SENT_HEARTBEATS_KEPT {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((sequence, now_us));
    }

    /// Records that the member has echoed a heartbeat of this proxy, which knows now what the member
    /// knew.
    pub fn confirm(&mut self, sequence: u64) {
        if let Some(sent_us) = self.sent_us(sequence) {
            self.confirmed_us = self.confirmed_us.max(sent_us);
        }
    }

    /// When this proxy sent one of the latest heartbeats to the member.
    pub fn sent_us(&self, sequence: u64) -> Option<u64> {
        let found = self.sent_heartbeats.iter().find(|(sent, _)| *sent == sequence);
        found.map(|(_, sent_us)| *sent_us)
    }

    pub fn is_in_contact(&self, now_us: u64) -> bool {
        self.last_heartbeat_us > 0 && now_us < self.last_heartbeat_us + Self::CONTACT_TIMEOUT_US
    }

    /// Whether the member counts as part of the fleet.
    pub fn is_present(&self, now_us: u64) -> bool {
        self.is_registered || self.is_in_contact(now_us)
    }

    /// The member's last report about a replica set.
    pub fn report(&self, replica_set: &Bytes) -> Option<&ReceivedReport> {
        self.reports.iter().find(|received| received.report.replica_set == *replica_set)
    }

    /// Replaces earlier reports about the same replica sets, and drops those that are out of date.
    pub fn record_reports(&mut self, reports: Vec<ReplicaSetReport>, now_us: u64) {
        self.reports.retain(|old| {
            now_us < old.received_us + Self::REPORT_VALID_US
                && !reports.iter().any(|report| report.replica_set == old.report.replica_set)
        });
        let received = |report| ReceivedReport { received_us: now_us, report };
        self.reports.extend(reports.into_iter().map(received));
    }
}
