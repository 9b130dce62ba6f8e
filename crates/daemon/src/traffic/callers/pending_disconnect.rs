//! Disconnections that are due.

use flamingorock_core::ResultCode;

/// Time between the last answer and the disconnection of a caller. Some drivers report an error
/// that follows an answer at once instead of the answer.
const DELAY_US: u64 = 100_000;

/// Time during which a caller that is to be disconnected still gets its requests answered, and in
/// which the rest of a request may arrive.
const LIMIT_US: u64 = 2_000_000;

/// The disconnection of a caller that is due at a transaction boundary.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingDisconnect {
    pub(super) code: ResultCode,
    /// From when on requests are refused.
    limit_us: u64,
}

impl PendingDisconnect {
    pub(super) fn new(code: ResultCode, now_us: u64) -> Self {
        Self { code, limit_us: now_us + LIMIT_US }
    }

    /// When the caller is disconnected if nothing arrives from it.
    pub(super) fn deadline_us(now_us: u64) -> u64 {
        now_us + DELAY_US
    }

    /// When the rest of a request must have arrived; `None` if that time has passed.
    pub(super) fn rest_deadline_us(&self, now_us: u64) -> Option<u64> {
        Some(self.limit_us).filter(|limit_us| now_us < *limit_us)
    }

    /// Whether a new request is refused as not run.
    pub(super) fn refuses(&self, now_us: u64) -> bool {
        self.limit_us <= now_us
    }
}
