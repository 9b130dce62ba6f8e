//! Bodies that a frame can carry.

use flamingorock_core::message::{ControlMessage, TrafficMessage};
use serde::Serialize;

use crate::{CallerCancel, Hello};

/// Tells what a frame carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum FrameTag {
    /// A [`Hello`].
    Hello = 1,
    /// A [`TrafficMessage`].
    Traffic = 2,
    /// A [`ControlMessage`].
    Control = 3,
    /// A [`CallerCancel`].
    CallerCancel = 4,
}

impl FrameTag {
    /// Reads a tag byte.
    #[must_use]
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Hello),
            2 => Some(Self::Traffic),
            3 => Some(Self::Control),
            4 => Some(Self::CallerCancel),
            _ => None,
        }
    }
}

/// A type that a frame can carry.
pub trait FrameBody: Serialize {
    /// Tag of frames with this body.
    const TAG: FrameTag;
}

impl FrameBody for Hello {
    const TAG: FrameTag = FrameTag::Hello;
}

impl FrameBody for TrafficMessage {
    const TAG: FrameTag = FrameTag::Traffic;
}

impl FrameBody for ControlMessage {
    const TAG: FrameTag = FrameTag::Control;
}

impl FrameBody for CallerCancel {
    const TAG: FrameTag = FrameTag::CallerCancel;
}
