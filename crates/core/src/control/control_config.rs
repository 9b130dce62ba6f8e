//! Settings of the control-plane state machine.

use crate::HostId;

/// Settings of the control-plane state machine that do not change while the process runs.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Host on which this process runs.
    pub host: HostId,
    /// Distinguishes the processes that run on this host one after the other: each start has a
    /// higher number. Peers drop heartbeats with a lower incarnation than the last one seen.
    pub incarnation: u64,
    /// All proxy hosts in the settings except this one, alive or not.
    pub peers: Vec<HostId>,
    /// Seed for timer jitter and for the choice of random heartbeat receivers.
    pub seed: u64,
    /// Time that open transactions get to finish during a handover, in microseconds.
    pub handover_timeout_us: u64,
}

impl ControlConfig {
    /// Default for [`Self::handover_timeout_us`]: 10 s.
    pub const DEFAULT_HANDOVER_TIMEOUT_US: u64 = 10_000_000;

    /// Creates the settings of a host without peers, in its first incarnation.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            incarnation: 1,
            peers: Vec::new(),
            seed: u64::from(host.0),
            handover_timeout_us: Self::DEFAULT_HANDOVER_TIMEOUT_US,
        }
    }

    /// Sets the other proxy hosts.
    #[must_use]
    pub fn peers(mut self, peers: Vec<HostId>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the incarnation of the process.
    #[must_use]
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the time that open transactions get to finish during a handover.
    #[must_use]
    pub fn handover_timeout_us(mut self, handover_timeout_us: u64) -> Self {
        self.handover_timeout_us = handover_timeout_us;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
