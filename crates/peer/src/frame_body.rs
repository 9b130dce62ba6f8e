//! Types of frame bodies and their tags.

use flamingorock_core::message::{ControlMessage, TrafficMessage};
use serde::Serialize;

use crate::{CallerCancel, Hello};

/// Tag byte of a frame: the type of its body. The numbers are part of the wire protocol.
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
    /// Converts a tag byte; `None` if the tag is unknown.
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

/// A type that can be sent as the body of a frame.
pub trait FrameBody: Serialize {
    /// Tag of frames whose body has this type.
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
