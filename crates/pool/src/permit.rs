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
    until_us: Arc<AtomicU64>,
}

impl Permit {
    /// Extends the permit. It is never shortened.
    pub fn extend(&self, until_us: u64) {
        self.until_us.fetch_max(until_us, Ordering::Relaxed);
    }

    /// Whether the permit holds.
    #[must_use]
    pub fn holds(&self, now_us: u64) -> bool {
        now_us < self.until_us()
    }

    /// End of the permit.
    #[must_use]
    pub fn until_us(&self) -> u64 {
        self.until_us.load(Ordering::Relaxed)
    }
}
