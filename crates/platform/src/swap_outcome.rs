//! Answers to compare-and-swap.

/// Answer to a compare-and-swap that was carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped,
    /// The key had another index; nothing changed.
    Conflict,
}
