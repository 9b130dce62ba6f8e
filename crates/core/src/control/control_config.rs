//! Settings of the control machine.

use crate::HostId;

/// Settings of the control machine that do not change while the process runs.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This host.
    pub host: HostId,
    /// Differs for each start of the process and rises with time.
    pub incarnation: u64,
    /// All other proxy hosts in the settings.
    pub peers: Vec<HostId>,
    /// Seed of the jitter on timers.
    pub seed: u64,
    /// Time that open transactions get to finish during a handover.
    pub handover_timeout_us: u64,
}

impl ControlConfig {
    /// Time that open transactions get to finish during a handover, unless set.
    pub const DEFAULT_HANDOVER_TIMEOUT_US: u64 = 10_000_000;

    /// Creates the settings of a host without peers.
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

    /// Sets the seed of the jitter.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
