//! Instances of a served database.

use super::ProbeFailure;
use crate::configuration::Instance;
use crate::{ConnectionKey, InstanceId, InstanceReport, Term};

/// An instance of a database that this thread serves.
#[derive(Clone, Debug)]
pub(crate) struct InstanceState {
    pub(crate) id: InstanceId,
    pub(crate) settings: Instance,
    /// Free connections without session state; the last one used is taken first.
    pub(crate) idle: Vec<ConnectionKey>,
    /// Connections in any state, those being opened included.
    pub(crate) open_connections: u16,
    pub(crate) opening_connections: u16,
    /// Statements running.
    pub(crate) running_statements: u16,
    /// Requests that found a free slot but no free connection at the last dispatch.
    pub(crate) wanted_connections: u16,
    /// No connection attempt before this time.
    pub(crate) connect_after_us: u64,
    pub(crate) connect_failures: u32,
    /// The last report and the time when its probe was sent.
    pub(crate) report: Option<(u64, InstanceReport)>,
    pub(crate) probe: Option<ProbeInFlight>,
    /// When the last probe was sent.
    pub(crate) probed_us: u64,
    /// Since when probes have failed or reported another term.
    pub(crate) unconfirmed_since_us: Option<u64>,
}

/// A probe without an answer so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeInFlight {
    pub(crate) number: u64,
    pub(crate) sent_us: u64,
}

impl InstanceState {
    /// Connections of an instance that serve as monitor connections, one for each of the control
    /// thread and the traffic thread.
    pub(crate) const MONITOR_CONNECTIONS: u16 = 2;
    /// Time after which an instance without a good report gets no new reads.
    const UNCONFIRMED_TIMEOUT_US: u64 = 300_000;
    /// First and longest wait after a failed connection attempt.
    const CONNECT_BACKOFF_US: u64 = 50_000;
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
            probed_us: 0,
            unconfirmed_since_us: None,
        }
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running_statements < self.settings.slots
    }

    /// Connections that may still be opened.
    pub(crate) fn connection_headroom(&self) -> u16 {
        self.settings.connections.saturating_sub(Self::MONITOR_CONNECTIONS + self.open_connections)
    }

    /// The last report if it accepts a term, and the time when its probe was sent.
    pub(crate) fn report_of_term(&self, term: Term) -> Option<(u64, InstanceReport)> {
        self.report.filter(|(_, report)| report.accepted_term == term)
    }

    /// Takes the answer to the probe in flight. An answer to an earlier probe is dropped.
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

    /// Whether probes have failed or reported another term for longer than a short disturbance.
    pub(crate) fn is_unconfirmed(&self, now_us: u64) -> bool {
        let since_us = self.unconfirmed_since_us;
        since_us.is_some_and(|since_us| now_us >= since_us + Self::UNCONFIRMED_TIMEOUT_US)
    }

    /// Delays the next connection attempt after a failed one.
    pub(crate) fn record_connect_failure(&mut self, now_us: u64) {
        let backoff_us = Self::CONNECT_BACKOFF_US << self.connect_failures.min(8);
        self.connect_after_us = now_us + backoff_us.min(Self::CONNECT_BACKOFF_LIMIT_US);
        self.connect_failures += 1;
    }
}
