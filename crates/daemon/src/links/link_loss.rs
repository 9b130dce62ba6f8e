//! Losses of outgoing links.

use flamingorock_core::HostId;

/// An outgoing link that could not be established or broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkLoss<R> {
    /// Host at the other end.
    pub host: HostId,
    /// Requests of which not a single byte was written.
    pub unsent: Vec<R>,
    /// Whether anything else was written that may or may not have arrived.
    pub in_doubt: bool,
}
