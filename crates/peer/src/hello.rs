//! The frame that identifies the sender of a link.

use flamingorock_core::HostId;
use serde::{Deserialize, Serialize};

use crate::PROTOCOL_VERSION;

/// Kind of the threads that a link connects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LinkPurpose {
    /// The link carries messages from one traffic thread.
    Traffic {
        /// Index of the sender's traffic thread.
        from_thread: u8,
    },
    /// The link carries messages from the control thread.
    Control,
}

/// Body of the first frame of a link: identifies the sender and what the link carries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Protocol version of the sender. It is the first field in every protocol version, so that it
    /// can be decoded before the version is known.
    pub version: u16,
    /// Host of the sender.
    pub host: HostId,
    /// Kind of the threads that the link connects.
    pub purpose: LinkPurpose,
}

impl Hello {
    /// Creates the first frame of a link, with [`PROTOCOL_VERSION`].
    #[must_use]
    pub fn new(host: HostId, purpose: LinkPurpose) -> Self {
        Self { version: PROTOCOL_VERSION, host, purpose }
    }
}
