//! Report on an outgoing link that was lost.

use flamingorock_core::HostId;

/// An outgoing link that could not be established or broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostLink<R> {
    /// Host at the other end.
    pub host: HostId,
    /// Requests of which no byte was written, so that they can be sent again safely.
    pub unsent: Vec<R>,
    /// Whether other messages were written, wholly or in part, which may or may not have arrived.
    pub in_doubt: bool,
}
