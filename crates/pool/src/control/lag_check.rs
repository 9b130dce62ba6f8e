//! What the replicas of a congested set say.

use bytes::Bytes;

use crate::InstanceStatus;

/// Answers of the replicas, with the time of each.
#[derive(Clone, Debug, Default)]
pub struct LagCheck {
    pub statuses: Vec<(Bytes, InstanceStatus, u64)>,
}
