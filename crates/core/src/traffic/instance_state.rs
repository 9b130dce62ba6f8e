//! Per-instance state on the owner.

use super::ProbeFailure;
use crate::configuration::Instance;
use crate::{ConnectionKey, InstanceId, InstanceReport, Term};

/// Connections and probe results of one instance of a served database.
#[derive(Clone, Debug)]
pub(crate) struct InstanceState {
    pub(crate) id: InstanceId,
    pub(crate) settings: Instance,
    /// Idle connections without session state; the most recently used one is taken first.
    pub(crate) idle: Vec<ConnectionKey>,
    /// Number of connections in any state, including those that are being opened.
    pub(crate) open_connections: u16,
    pub(crate) opening_connections: u16,
    /// Number of statements running on the instance.
    pub(crate) running_statements: u16,
    /// Number of requests that had a free slot but no idle connection at the last dispatch.
    pub(crate) wanted_connections: u16,
    /// Earliest time of the next connection attempt.
    pub(crate) connect_after_us: u64,
    pub(crate) connect_failures: u32,
    /// The send time of the last successful probe, and its report.
    pub(crate) report: Option<(u64, InstanceReport)>,
    pub(crate) probe: Option<ProbeInFlight>,
    /// Send time of the last probe.
    pub(crate) last_probe_sent_us: u64,
    /// Time since which probes have failed or reported another term; `None` if the last probe
    /// confirmed the term.
    pub(crate) unconfirmed_since_us: Option<u64>,
}

/// A probe whose result is not known yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeInFlight {
    pub(crate) number: u64,
    pub(crate) sent_us: u64,
}

impl InstanceState {
    /// Connections reserved for monitoring: one for the control thread and one for the traffic
    /// thread.
    pub(crate) const MONITOR_CONNECTIONS: u16 = 2;
    /// Time without a confirming report after which an instance receives no new reads.
    const UNCONFIRMED_TIMEOUT_US: u64 = 300_000;
    /// Initial delay after a failed connection attempt; it doubles with each further failure.
    const CONNECT_BACKOFF_US: u64 = 50_000;
    /// Maximum delay after a failed connection attempt.
    const CONNECT_BACKOFF_LIMIT_US: u64 = 1_000_000;

    pub(crate) fn new(id: InstanceId, settings: Instance) -> Self {
        Self {
            id,
            settings,
            idle: Vec::new(),
            open_connections: 0,
            opening_connections: 0,
            running_statements: 0,
            wanted_connections: 0,
            connect_after_us: 0,
            connect_failures: 0,
            report: None,
            probe: None,
            last_probe_sent_us: 0,
            unconfirmed_since_us: None,
        }
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running_statements < self.settings.slots
    }

    /// Number of further connections that may be opened.
    pub(crate) fn connection_headroom(&self) -> u16 {
        self.settings.connections.saturating_sub(Self::MONITOR_CONNECTIONS + self.open_connections)
    }

    /// The send time of the last successful probe and its report, if the report's term is `term`.
    pub(crate) fn report_of_term(&self, term: Term) -> Option<(u64, InstanceReport)> {
        self.report.filter(|(_, report)| report.accepted_term == term)
    }

    /// Records the result of the probe in flight. Results of earlier probes are ignored.
    pub(crate) fn record_probe(
        &mut self,
        number: u64,
        result: Result<InstanceReport, ProbeFailure>,
        term: Term,
        now_us: u64,
    ) {
        let Some(probe) = self.probe.filter(|probe| probe.number == number) else { return };
        self.probe = None;
        if let Ok(report) = result {
            self.report = Some((probe.sent_us, report));
            if report.accepted_term == term {
                self.unconfirmed_since_us = None;
                return;
            }
        }
        self.unconfirmed_since_us.get_or_insert(now_us);
    }

    /// Whether probes have failed or reported another term for longer than
    /// `UNCONFIRMED_TIMEOUT_US`.
    pub(crate) fn is_unconfirmed(&self, now_us: u64) -> bool {
        let since_us = self.unconfirmed_since_us;
        since_us.is_some_and(|since_us| now_us >= since_us + Self::UNCONFIRMED_TIMEOUT_US)
    }

    /// Records a failed connection attempt and delays the next one.
    pub(crate) fn record_connect_failure(&mut self, now_us: u64) {
        let backoff_us = Self::CONNECT_BACKOFF_US << self.connect_failures.min(8);
        self.connect_after_us = now_us + backoff_us.min(Self::CONNECT_BACKOFF_LIMIT_US);
        self.connect_failures += 1;
    }
}
