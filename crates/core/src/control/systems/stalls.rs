//! Recognises delays of this process.

use crate::control::tables::Tables;

/// Gap between ticks that counts as a delay. Heartbeats make the machine tick every 150 ms.
const STALL_THRESHOLD_US: u64 = 400_000;

/// Gives hosts and instances new time after a delay of this process.
///
/// What arrived during the delay waits in sockets and is handed over a little at a time. Without
/// this rule a resumed process would suspect everyone and take over what is in good hands.
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
