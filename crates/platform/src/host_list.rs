//! Interface to the platform's host list.

use std::time::Instant;

use flamingorock_core::control::HostEntry;

use crate::StoreError;

/// The platform's list of hosts. It is updated with a delay, so it can differ from the hosts'
/// actual state.
pub trait HostList {
    /// Reads the list, sorted by name.
    ///
    /// # Errors
    ///
    /// The call failed; a read has no effect.
    fn read(&self, deadline: Instant) -> Result<Vec<HostEntry>, StoreError>;
}
