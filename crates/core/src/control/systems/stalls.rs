//! Detects stalls of this process and compensates for them.

use crate::control::tables::Tables;

/// Time between ticks that counts as a stall. The heartbeat timer runs every 150 ms.
const STALL_THRESHOLD_US: u64 = 400_000;

/// Extends the timeouts of hosts and instances after a stall of this process.
///
/// Messages that arrived during the stall are still in socket buffers and are delivered over
/// several ticks. Without the extension, a resumed process would suspect all peers and take over
/// databases whose owners are healthy.
pub(crate) fn run(tables: &mut Tables) {
    let gap_us = tables.now_us.saturating_sub(tables.last_tick_us);
    if gap_us < STALL_THRESHOLD_US {
        return;
    }
    tables.counters.stalls += 1;
    tables.resumed_at_us = tables.now_us;
    for (host, row) in tables.hosts.iter_mut() {
        row.heartbeat_timeout_at_us += gap_us;
        tables.timers.suspicion.set(host, row.suspect_at_us());
    }
    for owned in tables.owned.values_mut() {
        for instance in &mut owned.instances {
            instance.failing_since_us = instance.failing_since_us.map(|_| tables.now_us);
        }
    }
}
