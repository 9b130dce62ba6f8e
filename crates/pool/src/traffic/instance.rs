//! Database instances.

use bytes::Bytes;
use flamingorock_core::Position;
use std::net::SocketAddr;

use super::ReplicaState;
use super::congestion::Congestion;
use crate::{ConnectionKey, ReplicaSetKey};

/// State of an instance, as seen from this proxy.
#[derive(Debug)]
pub struct Instance {
    pub id: Bytes,
    /// Start time of the instance; a different one means that it restarted.
    pub started_unix_ms: u64,
    pub address: SocketAddr,
    pub replica_set: ReplicaSetKey,
    pub in_same_data_centre: bool,
    /// Statements that the instance executes at once.
    pub slots: u32,
    pub is_leaving: bool,
    pub connections: Vec<ConnectionKey>,
    /// Last log position that the instance reported, and when the report arrived.
    pub observed_position: Option<(u64, Position)>,
    /// Time of the last response, 0 for none.
    pub last_response_us: u64,
    /// Time of the first sign of failure since the last response.
    pub suspected_since_us: Option<u64>,
    /// Whether connection attempts failed since the last response. An unreachable primary is
    /// reported only when this is set, once per outage.
    pub is_unreachable: bool,
    /// No connection is attempted before this time.
    pub connect_after_us: u64,
    /// Failed connection attempts since the last connection became ready.
    pub connect_failures: u32,
    /// Moving average of the time from the startup command to its confirmation.
    pub setup_time_us: u64,
    /// Until this time the instance is considered to have reached its connection limit.
    pub exhausted_until_us: u64,
    /// No statement is sent before this time, because the instance refused one for lack of
    /// capacity.
    pub busy_until_us: u64,
    /// Exponentially weighted share of failed statements, in thousandths.
    pub failure_permille: u32,
    pub congestion: Congestion,
    /// Time of the last [`Report::PrimaryAlive`](super::Report::PrimaryAlive).
    pub alive_reported_us: u64,
    /// State in the last [`Report::ReplicaStateChanged`](super::Report::ReplicaStateChanged), and
    /// the time of that report.
    pub reported_state: ReplicaState,
    pub state_reported_us: u64,
}

impl Instance {
    /// Inverse weight of a new sample in the exponentially weighted moving average.
    const EWMA_DIVISOR: u64 = 8;

    /// Setup time assumed before the first connection.
    pub const DEFAULT_SETUP_TIME_US: u64 = 10_000;

    /// Updates the setup time with that of a new connection.
    pub fn record_setup(&mut self, setup_time_us: u64) {
        self.setup_time_us =
            (self.setup_time_us * (Self::EWMA_DIVISOR - 1) + setup_time_us) / Self::EWMA_DIVISOR;
    }

    /// Updates the failure rate with the result of a statement.
    pub fn record_failure(&mut self, failed: bool) {
        let observed = if failed { 1000 } else { 0 };
        let smoothing = Self::EWMA_DIVISOR as u32;
        self.failure_permille = (self.failure_permille * (smoothing - 1) + observed) / smoothing;
    }

    /// Whether statements fail so often that other instances are preferred.
    pub fn is_failing(&self) -> bool {
        const FAILING_PERMILLE: u32 = 150;
        self.failure_permille > FAILING_PERMILLE
    }
}
