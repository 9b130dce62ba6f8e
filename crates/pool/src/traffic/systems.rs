//! Systems of the traffic machine, in the order in which a tick runs them.

mod answers;
mod configuration;
mod connections;
mod ending;
mod expiry;
mod group_calls;
mod intake;
mod isolation;
mod keeping;
mod losses;
mod placement;
mod primary_choice;
mod quiescence;
mod refusals;
mod relief;
mod replica_choice;
mod replica_watch;
mod sending;
mod sessions;
mod shutdown;
mod upkeep;

use super::tables::Tables;

/// Runs every system once.
pub fn run(tables: &mut Tables, now_us: u64) {
    if tables.started_us == 0 {
        tables.started_us = now_us;
    }
    intake::run(tables, now_us);
    expiry::run(tables, now_us);
    group_calls::run(tables, now_us);
    placement::run(tables, now_us);
    // After the placement, so that a probe takes no connection that a statement waits for.
    upkeep::run(tables, now_us);
    quiescence::run(tables);
    isolation::run(tables, now_us);
    shutdown::run(tables, now_us);
}
