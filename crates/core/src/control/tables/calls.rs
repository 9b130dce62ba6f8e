//! Outstanding calls.

use crate::InstanceId;
use crate::control::{GroupOperation, StoreOperation};

/// An outstanding call to the key-value service.
#[derive(Clone, Debug)]
pub(crate) struct StoreCall {
    pub(crate) operation: StoreOperation,
}

/// An outstanding call to a database instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupCall {
    pub(crate) instance: InstanceId,
    pub(crate) operation: GroupOperation,
    pub(crate) sent_at_us: u64,
}
