//! Reads and watches the configuration document in the key-value service.

use crate::control::StoreOperation;
use crate::control::tables::Tables;

/// Number of hosts that watch the document; the others poll it and get changes from peers.
const WATCHER_COUNT: u64 = 3;
/// Rendezvous hashing key that selects the watchers. Database ids use the same key space.
const WATCHER_KEY: u32 = u32::MAX;
/// Maximum duration of the long poll of a watch.
const WATCH_TIMEOUT_US: u64 = 10_000_000;
const READ_TIMEOUT_US: u64 = 2_000_000;

/// Sends the next read or watch when it is due, no call is in flight and the rate limit permits it.
pub(crate) fn run(tables: &mut Tables) {
    let now_us = tables.now_us;
    let is_due = !tables.timers.configuration_store.take_expired(now_us).is_empty();
    if !is_due || tables.configuration.store_call.is_some() {
        return;
    }
    let is_watcher = tables.hosts.rank(WATCHER_KEY, tables.config.host) < WATCHER_COUNT;
    if !is_watcher && now_us < tables.configuration.next_read_us {
        let due_us = tables.configuration.next_read_us;
        tables.timers.configuration_store.set((), due_us);
        return;
    }
    if let Err(due_us) = tables.configuration.store_rate_limiter.try_acquire(now_us) {
        tables.timers.configuration_store.set((), due_us);
        return;
    }
    // After a failure a plain read replaces the watch, because its timeout is shorter.
    let is_failing = tables.configuration.store_rate_limiter.is_failing();
    let call = match tables.configuration.store_index {
        Some(index) if is_watcher && !is_failing => {
            tables.call_store(StoreOperation::WatchConfiguration { index }, WATCH_TIMEOUT_US)
        }
        _ => tables.call_store(StoreOperation::GetConfiguration, READ_TIMEOUT_US),
    };
    tables.configuration.store_call = Some(call);
}
