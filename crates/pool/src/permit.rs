//! Permission to serve from primaries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Deadline until which this proxy may rely on its belief about primaries, shared by the threads.
///
/// A proxy that replaces a primary waits until every other proxy has agreed to stop or its permit
/// has expired. The permit is checked again when an answer arrives, so that an answer of a
/// superseded primary is not passed on by a proxy that was suspended or cut off.
#[derive(Clone, Debug, Default)]
pub struct Permit {
    expires_us: Arc<AtomicU64>,
}

impl Permit {
    /// Extends the permit. It is never shortened.
    pub fn extend(&self, expires_us: u64) {
        self.expires_us.fetch_max(expires_us, Ordering::Relaxed);
    }

    /// Whether the permit holds.
    #[must_use]
    pub fn is_valid(&self, now_us: u64) -> bool {
        now_us < self.expires_us()
    }

    /// End of the permit.
    #[must_use]
    pub fn expires_us(&self) -> u64 {
        self.expires_us.load(Ordering::Relaxed)
    }
}
