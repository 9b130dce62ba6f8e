//! Messages between the control thread and the traffic thread.

use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::{Position, Term};
use flamingorock_pool::traffic::Report;
use flamingorock_pool::{InstanceCall, PoolView};

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlThreadMessage {
    /// A report of the traffic state machine to the control state machine.
    Report(Report),
    /// The traffic thread has ended, by return or by panic.
    TrafficEnded,
}

/// A message to the traffic thread.
#[derive(Debug)]
pub enum TrafficThreadMessage {
    /// A new view of the configuration, the instances and the primaries. It replaces the earlier
    /// one.
    View(Arc<PoolView>),
    /// A call to an instance, requested by the control state machine.
    Call(InstanceCall),
    /// Probes the primary of a replica set.
    ProbePrimary {
        /// The replica set.
        replica_set: Bytes,
    },
    /// A position that another proxy has seen at a primary.
    PrimaryPosition {
        /// The replica set.
        replica_set: Bytes,
        /// Term of the primary.
        term: Term,
        /// The position covers every commit acknowledged before this time.
        at_us: u64,
        /// Position of the primary's log.
        position: Position,
    },
    /// Ends all sessions because the process shuts down.
    Stop {
        /// Time from which sessions without an open transaction are closed. The listener is closed
        /// then too.
        close_idle_us: u64,
        /// Time at which open transactions are rolled back.
        abort_us: u64,
    },
}
