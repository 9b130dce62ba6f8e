//! Cancel requests that are forwarded to the traffic thread that issued their key.

use serde::{Deserialize, Serialize};

/// A caller's cancel request, identified by its key. It is forwarded if it arrives at a proxy or
/// traffic thread other than the one that issued the key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallerCancel {
    /// First half of the key; encodes the host and the traffic thread that issued it.
    pub process_id: i32,
    /// Second half of the key; random.
    pub secret: i32,
}
