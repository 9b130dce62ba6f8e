//! Possible effects of failed calls.

/// Whether a failed call may have changed the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call had no effect.
    None,
    /// The call may have taken effect, or may still do so later.
    Unknown,
}
