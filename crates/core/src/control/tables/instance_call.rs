//! Outstanding calls to database instances.

use crate::InstanceId;
use crate::control::InstanceOperation;

/// An outstanding call to a database instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceCall {
    pub(crate) instance: InstanceId,
    pub(crate) operation: InstanceOperation,
    pub(crate) sent_at_us: u64,
}
