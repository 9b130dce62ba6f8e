//! Scheduled disconnections of callers.

use flamingorock_core::ResultCode;

/// Delay between the last reply and the disconnection of a caller. If an error follows a reply
/// immediately, some drivers report the error in place of the reply.
const DISCONNECT_DELAY_US: u64 = 100_000;

/// Time during which requests of a caller that is to be disconnected are still run, and in which
/// the rest of a request that has arrived in part must follow.
const GRACE_PERIOD_US: u64 = 2_000_000;

/// Disconnection of a caller, scheduled for a transaction boundary.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingDisconnect {
    /// Error code to send to the caller.
    pub(super) code: ResultCode,
    /// Time from which on new requests are refused.
    grace_end_us: u64,
}

impl PendingDisconnect {
    pub(super) fn new(code: ResultCode, now_us: u64) -> Self {
        Self { code, grace_end_us: now_us + GRACE_PERIOD_US }
    }

    /// Time at which the caller is disconnected if no request arrives from it.
    pub(super) fn deadline_us(now_us: u64) -> u64 {
        now_us + DISCONNECT_DELAY_US
    }

    /// Time by which a partly received request must be complete; `None` if it has passed.
    pub(super) fn request_deadline_us(&self, now_us: u64) -> Option<u64> {
        Some(self.grace_end_us).filter(|grace_end_us| now_us < *grace_end_us)
    }

    /// Whether new requests are refused as not run.
    pub(super) fn refuses_requests(&self, now_us: u64) -> bool {
        self.grace_end_us <= now_us
    }
}
