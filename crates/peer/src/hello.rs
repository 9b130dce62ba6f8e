//! First frame of a link.

use flamingorock_core::HostId;
use serde::{Deserialize, Serialize};

use crate::PROTOCOL_VERSION;

/// Threads that a link connects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LinkPurpose {
    /// The link carries messages of a traffic thread.
    Traffic {
        /// The sender's traffic thread.
        from_thread: u8,
    },
    /// The link carries messages of the control thread.
    Control,
}

/// First frame of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Protocol version of the sender. It stays the first field in all versions.
    pub version: u16,
    /// The sender.
    pub host: HostId,
    /// Threads that the link connects.
    pub purpose: LinkPurpose,
}

impl Hello {
    /// Creates the first frame of a link of this protocol version.
    #[must_use]
    pub fn new(host: HostId, purpose: LinkPurpose) -> Self {
        Self { version: PROTOCOL_VERSION, host, purpose }
    }
}
