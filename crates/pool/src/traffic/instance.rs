//! Instances as the traffic machine sees them.

use bytes::Bytes;
use flamingorock_core::Position;
use std::net::SocketAddr;

use super::ReplicaState;
use super::congestion::Congestion;
use crate::{ConnectionKey, ReplicaSetKey};

/// An instance.
#[derive(Debug)]
pub struct Instance {
    pub id: Bytes,
    pub started_unix_ms: u64,
    pub address: SocketAddr,
    pub replica_set: ReplicaSetKey,
    pub in_same_data_centre: bool,
    pub slots: u32,
    pub is_leaving: bool,
    pub connections: Vec<ConnectionKey>,
    /// Position of its log and when it was seen.
    pub observed_position: Option<(u64, Position)>,
    /// Last sign of life, 0 for none.
    pub last_response_us: u64,
    /// When the oldest sign of trouble came after the last sign of life.
    pub suspected_since_us: Option<u64>,
    /// Whether the loss has been reported.
    pub is_unreachable: bool,
    /// Not connected to before this time.
    pub connect_after_us: u64,
    pub connect_failures: u32,
    /// Up to when it counts as having no place for another connection.
    pub exhausted_until_us: u64,
    /// Not given work before this time, after it has refused some.
    pub busy_until_us: u64,
    /// Failed statements among the recent ones, smoothed, in thousandths.
    pub failure_permille: u32,
    pub congestion: Congestion,
    /// Last report of a sign of life.
    pub alive_reported_us: u64,
    /// Whether it takes reads, as last reported, and when that was.
    pub reported_state: ReplicaState,
    pub state_reported_us: u64,
}

impl Instance {
    /// Weight of a new observation is one part in this many.
    const EWMA_DIVISOR: u64 = 8;

    /// Records whether a statement failed at the instance.
    pub fn record_failure(&mut self, failed: bool) {
        let observed = if failed { 1000 } else { 0 };
        let smoothing = Self::EWMA_DIVISOR as u32;
        self.failure_permille = (self.failure_permille * (smoothing - 1) + observed) / smoothing;
    }

    /// Whether statements fail there so often that others are preferred.
    pub fn is_failing(&self) -> bool {
        const FAILING_PERMILLE: u32 = 150;
        self.failure_permille > FAILING_PERMILLE
    }
}
