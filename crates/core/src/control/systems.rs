//! Systems of the control-plane state machine, one per file, grouped in the order in which a tick
//! runs them.

pub(crate) mod stalls;

pub(crate) mod heartbeat_receiver;
pub(crate) mod suspicion;

pub(crate) mod messages;
pub(crate) mod store_responses;

pub(crate) mod configuration_changes;
pub(crate) mod configuration_fetch;
pub(crate) mod configuration_store;
pub(crate) mod leaving;

pub(crate) mod instance_responses;
pub(crate) mod ownership;
pub(crate) mod record_responses;

pub(crate) mod drain;
pub(crate) mod fencing;
pub(crate) mod following;
pub(crate) mod handover;
pub(crate) mod primary_failure_detection;
pub(crate) mod resolving;
pub(crate) mod switchover;

pub(crate) mod monitor;
pub(crate) mod record_calls;
pub(crate) mod record_maintenance;

pub(crate) mod heartbeat_sender;
pub(crate) mod view_publisher;

use super::tables::Tables;

/// Runs every system once. The order lets a change reach all systems that depend on it in the same
/// tick: first the inputs, then the decisions, from those on the fleet to those on a single
/// instance, then the outputs.
pub(crate) fn run_all(tables: &mut Tables) {
    stalls::run(tables);
    heartbeat_receiver::run(tables);
    suspicion::run(tables);
    messages::run(tables);
    store_responses::run(tables);
    configuration_changes::run(tables);
    leaving::run(tables);
    record_responses::run(tables);
    instance_responses::run(tables);
    ownership::run(tables);
    tables.due_owned = tables.timers.owned.take_expired(tables.now_us);
    drain::run(tables);
    primary_failure_detection::run(tables);
    switchover::run(tables);
    resolving::run(tables);
    fencing::run(tables);
    handover::run(tables);
    following::run(tables);
    record_maintenance::run(tables);
    monitor::run(tables);
    record_calls::run(tables);
    configuration_fetch::run(tables);
    configuration_store::run(tables);
    heartbeat_sender::run(tables);
    view_publisher::run(tables);
}
