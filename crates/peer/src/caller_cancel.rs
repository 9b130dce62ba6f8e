//! Cancel requests on their way to the caller's entry proxy.

use serde::{Deserialize, Serialize};

/// A cancel request that reached another proxy or traffic thread than the one that issued its key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallerCancel {
    /// First half of the key; names the host and the traffic thread that issued it.
    pub process_id: i32,
    /// Second half of the key.
    pub secret: i32,
}
