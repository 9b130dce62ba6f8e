//! State of a database instance as its owner knows it.

use crate::traffic::ProbeFailure;
use crate::{InstanceCallKey, InstanceReport, InstanceRole, Position, Term};

/// Delay before a failed fencing or follow call is repeated.
const RETRY_US: u64 = 100_000;

/// State of a database instance as its owner knows it.
#[derive(Debug, Default)]
pub(crate) struct InstanceState {
    /// Status in the last response to a call of any kind.
    pub(crate) report: Option<InstanceReport>,
    /// When the last report arrived.
    pub(crate) reported_at_us: u64,
    /// When the call was sent whose response is `report`.
    pub(crate) report_sent_us: u64,
    /// When the oldest status call was sent that failed or was missed since the last response.
    pub(crate) failing_since_us: Option<u64>,
    /// Consecutive status calls that ended with a refused or broken connection.
    pub(crate) connection_losses: u32,
    /// Status call in flight that does not yet count as missed.
    pub(crate) status_call: Option<InstanceCallKey>,
    /// When the last status call was sent.
    pub(crate) status_sent_us: u64,
    /// Fencing call in flight for the current term.
    pub(crate) fence_call: Option<InstanceCallKey>,
    /// Position of the instance when it accepted the current term.
    pub(crate) fenced: Option<Position>,
    /// Whether the last fencing call for the current term failed or was refused.
    pub(crate) fence_failed: bool,
    /// When the next fencing or follow call may be sent.
    pub(crate) retry_at_us: u64,
    /// Follow call in flight.
    pub(crate) follow_call: Option<InstanceCallKey>,
    /// When the instance accepted the follow call for the primary of the current term.
    pub(crate) following_since_us: Option<u64>,
    /// When the replica last heard from its primary; if it never has, the time of the first report
    /// that said so. `None` for a primary.
    pub(crate) primary_last_heard_at_us: Option<u64>,
}

impl InstanceState {
    /// Stores the report of a call sent at the given time, unless a report of a later call is
    /// known.
    pub(crate) fn record_report(&mut self, report: InstanceReport, sent_at_us: u64, now_us: u64) {
        if sent_at_us < self.report_sent_us {
            return;
        }
        self.failing_since_us = None;
        self.connection_losses = 0;
        self.primary_last_heard_at_us = match (report.role, report.primary_heard_ms) {
            (InstanceRole::Primary, _) => None,
            (InstanceRole::Replica, Some(age_ms)) => {
                Some(now_us.saturating_sub(age_ms.saturating_mul(1_000)))
            }
            (InstanceRole::Replica, None) => self.primary_last_heard_at_us.or(Some(now_us)),
        };
        self.report = Some(report);
        self.reported_at_us = now_us;
        self.report_sent_us = sent_at_us;
    }

    /// Records that a status call sent at the given time failed.
    pub(crate) fn record_probe_failure(&mut self, sent_at_us: u64, failure: ProbeFailure) {
        self.failing_since_us.get_or_insert(sent_at_us);
        match failure {
            ProbeFailure::ConnectionLost => self.connection_losses += 1,
            ProbeFailure::Timeout => self.connection_losses = 0,
        }
    }

    /// Records the result of a fencing call: the report if the instance accepted the term.
    pub(crate) fn record_fencing_result(&mut self, accepted: Option<InstanceReport>, now_us: u64) {
        self.fenced = accepted.map(|report| report.position);
        self.fence_failed = accepted.is_none();
        self.retry_at_us = if accepted.is_some() { now_us } else { now_us + RETRY_US };
    }

    /// Records the result of a follow call.
    pub(crate) fn record_follow_result(&mut self, accepted: bool, now_us: u64) {
        self.following_since_us = accepted.then_some(now_us);
        self.retry_at_us = if accepted { now_us } else { now_us + RETRY_US };
    }

    /// Clears the state that is valid for one term only.
    pub(crate) fn reset_term(&mut self, now_us: u64) {
        self.fence_call = None;
        self.fenced = None;
        self.fence_failed = false;
        self.follow_call = None;
        self.following_since_us = None;
        self.retry_at_us = now_us;
    }

    /// Whether the instance has reported, and no call has failed since its last report.
    pub(crate) fn is_responsive(&self) -> bool {
        self.failing_since_us.is_none() && self.report.is_some()
    }

    /// Start of the period in which a replica of the current term has heard nothing from its
    /// primary.
    pub(crate) fn silent_since_us(&self) -> Option<u64> {
        Some(self.primary_last_heard_at_us?.max(self.following_since_us?))
    }

    /// Whether the last report shows that the instance was promoted under the given term. A primary
    /// that accepts a higher term becomes read-only, so the accepted term of a primary is that of
    /// its promotion.
    pub(crate) fn is_primary_of(&self, term: Term) -> bool {
        self.report.is_some_and(|report| {
            report.role == InstanceRole::Primary && report.accepted_term == term
        })
    }
}
