//! Messages between the threads.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_pool::traffic::Report;
use flamingorock_pool::{InstanceCall, PoolView};

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlThreadMessage {
    /// An observation of the traffic machine.
    Report(Report),
    /// The traffic thread has ended.
    TrafficEnded,
}

/// A message to the traffic thread.
#[derive(Debug)]
pub enum TrafficThreadMessage {
    /// What to believe.
    View(Arc<PoolView>),
    /// A call to make at an instance.
    Call(InstanceCall),
    /// Probe the primary of a replica set.
    ProbePrimary {
        /// The replica set.
        replica_set: Bytes,
    },
    /// End the sessions.
    Stop {
        /// From when on sessions without an open transaction are closed.
        close_idle_us: u64,
        /// When open transactions are rolled back.
        abort_us: u64,
    },
}
