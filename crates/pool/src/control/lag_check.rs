//! Replication state of the replicas of a congested replica set.

use bytes::Bytes;

use crate::InstanceStatus;

/// Status answers of the replicas, each with its arrival time.
#[derive(Clone, Debug, Default)]
pub struct LagCheck {
    pub statuses: Vec<(Bytes, InstanceStatus, u64)>,
}
