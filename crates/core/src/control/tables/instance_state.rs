//! What an owner knows of a database instance.

use crate::traffic::ProbeFailure;
use crate::{InstanceCallKey, InstanceReport, InstanceRole, Position, Term};

/// Delay before a failed fencing or follow call is repeated.
const RETRY_US: u64 = 100_000;

/// What an owner knows of a database instance.
#[derive(Debug, Default)]
pub(crate) struct InstanceState {
    /// Last report of any call.
    pub(crate) report: Option<InstanceReport>,
    /// When the last report arrived.
    pub(crate) reported_at_us: u64,
    /// When the call that brought the last report was sent.
    pub(crate) report_sent_us: u64,
    /// When the first call was sent that has had no answer, if none has been answered since.
    pub(crate) failing_since_us: Option<u64>,
    /// Status calls in a row that ended with a refused or broken connection.
    pub(crate) connection_losses: u32,
    /// Status call in flight that has not been missed yet.
    pub(crate) status_call: Option<InstanceCallKey>,
    /// When the last status call was sent.
    pub(crate) status_sent_us: u64,
    /// Fencing call of the present term in flight.
    pub(crate) fence_call: Option<InstanceCallKey>,
    /// Position that the instance had when it accepted the present term.
    pub(crate) fenced: Option<Position>,
    /// Whether a fencing call of the present term has failed.
    pub(crate) fence_failed: bool,
    /// When the next fencing or follow call may be sent.
    pub(crate) retry_at_us: u64,
    /// Follow call in flight.
    pub(crate) follow_call: Option<InstanceCallKey>,
    /// When the instance began to follow the primary of the present term.
    pub(crate) following_since_us: Option<u64>,
    /// When the replica last heard from its primary; the start of the silence if it never has.
    pub(crate) primary_last_heard_at_us: Option<u64>,
}

impl InstanceState {
    /// Notes a report of a call that was sent at the given time.
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

    /// Notes that a status call sent at the given time failed.
    pub(crate) fn record_probe_failure(&mut self, sent_at_us: u64, failure: ProbeFailure) {
        self.failing_since_us.get_or_insert(sent_at_us);
        match failure {
            ProbeFailure::ConnectionLost => self.connection_losses += 1,
            ProbeFailure::Timeout => self.connection_losses = 0,
        }
    }

    /// Notes the end of a fencing call, with the report if the term was accepted.
    pub(crate) fn record_fencing_result(&mut self, accepted: Option<InstanceReport>, now_us: u64) {
        self.fenced = accepted.map(|report| report.position);
        self.fence_failed = accepted.is_none();
        self.retry_at_us = if accepted.is_some() { now_us } else { now_us + RETRY_US };
    }

    /// Notes the end of a follow call.
    pub(crate) fn record_follow_result(&mut self, accepted: bool, now_us: u64) {
        self.following_since_us = accepted.then_some(now_us);
        self.retry_at_us = if accepted { now_us } else { now_us + RETRY_US };
    }

    /// Forgets what holds for one term only.
    pub(crate) fn reset_term(&mut self, now_us: u64) {
        self.fence_call = None;
        self.fenced = None;
        self.fence_failed = false;
        self.follow_call = None;
        self.following_since_us = None;
        self.retry_at_us = now_us;
    }

    /// Whether the instance answers status calls.
    pub(crate) fn is_responsive(&self) -> bool {
        self.failing_since_us.is_none() && self.report.is_some()
    }

    /// Since when a replica of the present term has heard nothing from its primary.
    pub(crate) fn silent_since_us(&self) -> Option<u64> {
        Some(self.primary_last_heard_at_us?.max(self.following_since_us?))
    }

    /// Whether the last report shows a primary that accepts the given term. An instance that has
    /// accepted a higher term than its own promotion is read-only, so this term promoted it.
    pub(crate) fn is_primary_of(&self, term: Term) -> bool {
        self.report.is_some_and(|report| {
            report.role == InstanceRole::Primary && report.accepted_term == term
        })
    }
}
