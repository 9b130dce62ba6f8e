//! Systems of the control machine, in the order in which a tick runs them.

mod candidates;
mod claims;
mod detection;
mod directory;
mod failover_store;
mod failovers;
mod heartbeats;
mod instance_relay;
mod instances;
mod intake;
mod members;
mod membership;
mod membership_changes;
mod mirror;
mod permits;
mod position_samples;
mod publishing;
mod records;
mod registration;
mod replica_lag;
mod search;
mod set_reports;
mod shutdown;
mod stalled_failovers;
mod stop_acks;
mod store_contact;
mod store_items;
mod suspension;

use super::tables::Tables;

/// Longest time between two ticks.
const TICK_US: u64 = 100_000;
/// Longest time between two ticks while a primary is unreachable or being replaced.
const BUSY_TICK_US: u64 = 20_000;

/// Runs every system once.
pub fn run(tables: &mut Tables, now_us: u64) {
    intake::run(tables, now_us);
    mirror::run(tables, now_us);
    registration::run(tables, now_us);
    membership_changes::run(tables, now_us);
    permits::run(tables, now_us);
    instances::run(tables, now_us);
    search::run(tables, now_us);
    detection::run(tables, now_us);
    failovers::run(tables, now_us);
    directory::run(tables, now_us);
    members::run(tables, now_us);
    heartbeats::run(tables, now_us);
    publishing::run(tables, now_us);
    shutdown::run(tables, now_us);
}

/// Time of the next tick if no event arrives before.
pub fn next_deadline_us(tables: &Tables, now_us: u64) -> u64 {
    let is_busy = tables.replica_sets.values().any(|set| {
        set.failover.is_some() || set.unreachable_since_us.is_some() || set.is_replacing()
    });
    now_us + if is_busy { BUSY_TICK_US } else { TICK_US }
}
