//! Systems of the traffic state machine. [`run`] calls them in a fixed order.

mod completion;
mod configuration;
mod connection_loss;
mod connections;
mod event_handling;
mod expiry;
mod idle_connections;
mod instance_calls;
mod isolation;
mod maintenance;
mod overload_reports;
mod placement;
mod primary_placement;
mod quiescence;
mod refusals;
mod replica_placement;
mod replica_reports;
mod responses;
mod sending;
mod sessions;
mod shutdown;

use super::tables::Tables;

/// Runs one tick.
pub fn run(tables: &mut Tables, now_us: u64) {
    if tables.first_tick_us == 0 {
        tables.first_tick_us = now_us;
    }
    event_handling::run(tables, now_us);
    expiry::run(tables, now_us);
    instance_calls::run(tables, now_us);
    placement::run(tables, now_us);
    // After placement, so that a probe takes no connection that a queued statement needs.
    maintenance::run(tables, now_us);
    quiescence::run(tables);
    isolation::run(tables, now_us);
    shutdown::run(tables, now_us);
}
