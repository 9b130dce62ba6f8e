//! Effects of failed calls.

/// What a failed call may have done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call had no effect.
    None,
    /// The call may have taken effect, and may still do so later.
    Unknown,
}
