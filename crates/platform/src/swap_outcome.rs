//! Outcomes of a compare-and-swap.

/// Outcome of a compare-and-swap that the store executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped,
    /// The key had a different modification index; nothing was written.
    Conflict,
}
