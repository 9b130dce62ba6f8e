//! Time-limited permission to use primaries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time until which this proxy may act on its knowledge of the primaries. Shared by all threads.
///
/// A proxy that fails over a primary waits until every other proxy has either confirmed that it
/// stopped using the primary or must have lost its permit. The traffic thread also checks the
/// permit when an answer arrives: a proxy that was suspended or partitioned must not pass on the
/// answer of a superseded primary.
#[derive(Clone, Debug, Default)]
pub struct Permit {
    expires_us: Arc<AtomicU64>,
}

impl Permit {
    /// Extends the permit. An earlier expiry time than the current one has no effect.
    pub fn extend(&self, expires_us: u64) {
        self.expires_us.fetch_max(expires_us, Ordering::Relaxed);
    }

    /// Whether the permit has not expired.
    #[must_use]
    pub fn is_valid(&self, now_us: u64) -> bool {
        now_us < self.expires_us()
    }

    /// Expiry time; 0 if the permit was never granted.
    #[must_use]
    pub fn expires_us(&self) -> u64 {
        self.expires_us.load(Ordering::Relaxed)
    }
}
