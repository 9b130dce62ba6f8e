//! Sends queued calls for ownership records, within the rate limit.

use crate::control::StoreOperation;
use crate::control::tables::Tables;

/// Maximum number of calls in flight while the key-value service responds. While it fails, the
/// maximum is one.
const MAX_CALLS_IN_FLIGHT: usize = 8;
const CALL_TIMEOUT_US: u64 = 2_000_000;

pub(crate) fn run(tables: &mut Tables) {
    if tables.timers.record.take_expired(tables.now_us).is_empty() {
        return;
    }
    loop {
        let limit = if tables.record_rate_limiter.is_failing() { 1 } else { MAX_CALLS_IN_FLIGHT };
        if tables.record_queue.is_empty() || tables.record_calls_in_flight >= limit {
            return;
        }
        if let Err(due_us) = tables.record_rate_limiter.try_acquire(tables.now_us) {
            tables.timers.record.set((), due_us);
            return;
        }
        send_next(tables);
    }
}

fn send_next(tables: &mut Tables) {
    let Some(operation) = tables.record_queue.pop_front() else { return };
    let (StoreOperation::GetOwner { database }
    | StoreOperation::CompareAndSwapOwner { database, .. }) = operation
    else {
        return;
    };
    if !tables.routes.contains_key(&database) {
        return;
    }
    tables.call_store(operation, CALL_TIMEOUT_US);
    tables.record_calls_in_flight += 1;
}
