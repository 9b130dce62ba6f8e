//! Applies received heartbeats to the tables of hosts and routes.

use super::ownership;
use crate::control::StateChange;
use crate::control::tables::{
    HostState, INDIRECT_SUSPICION_TIMEOUT_US, Reservation, SUSPICION_TIMEOUT_US, Tables,
};
use crate::message::{Heartbeat, OwnedDatabase};
use crate::{DatabaseId, HostId};

pub(crate) fn run(tables: &mut Tables) {
    for heartbeat in core::mem::take(&mut tables.inputs.heartbeats) {
        if !accept(tables, &heartbeat) {
            tables.counters.heartbeats_dropped += 1;
            continue;
        }
        tables.counters.heartbeats_received += 1;
        for &listed in &heartbeat.heard {
            record_indirect_heartbeat(tables, heartbeat.host, listed);
        }
        for owned in &heartbeat.owned {
            apply_owned_database(tables, heartbeat.host, owned);
        }
        record_omissions(tables, &heartbeat);
        for update in &heartbeat.updates {
            ownership::observe_epoch(tables, update.database, Some(update.owner), update.epoch);
        }
    }
}

/// Updates the sender's row and returns `true`, unless the heartbeat is from an unknown host or an
/// earlier process, or arrived out of order.
fn accept(tables: &mut Tables, heartbeat: &Heartbeat) -> bool {
    let now_us = tables.now_us;
    let listed_as_standby =
        heartbeat.owned.iter().any(|owned| owned.standby == Some(tables.config.host));
    let Some(row) = tables.hosts.get_mut(heartbeat.host) else { return false };
    let key = (heartbeat.incarnation, heartbeat.sequence);
    if key <= (row.incarnation, row.sequence) {
        return false;
    }
    let changed = heartbeat.incarnation != row.incarnation || heartbeat.draining != row.draining;
    let is_newer_version = heartbeat.configuration_version > row.configuration_version;
    (row.incarnation, row.sequence) = key;
    row.draining = heartbeat.draining;
    row.configuration_version = heartbeat.configuration_version;
    row.last_heartbeat_at_us = Some(now_us);
    // Hosts also send every heartbeat to the standbys of their databases.
    let gets_every_heartbeat = row.is_direct || listed_as_standby;
    row.heartbeat_timeout_at_us = now_us
        + if gets_every_heartbeat { SUSPICION_TIMEOUT_US } else { INDIRECT_SUSPICION_TIMEOUT_US };
    tables.timers.suspicion.set(heartbeat.host, row.suspect_at_us());
    mark_alive(tables, heartbeat.host);
    if changed {
        recheck_dependents(tables);
    }
    if is_newer_version || tables.configuration.would_accept(heartbeat.configuration_version) {
        tables.timers.configuration_fetch.set_if_earlier((), now_us);
    }
    true
}

/// Records that the sender has recently received a heartbeat of another host.
fn record_indirect_heartbeat(tables: &mut Tables, sender: HostId, listed: HostId) {
    let now_us = tables.now_us;
    let Some(row) = tables.hosts.get_mut(listed) else { return };
    if listed == sender {
        return;
    }
    row.indirectly_heard_at_us = Some(now_us);
    if !row.is_direct {
        row.heartbeat_timeout_at_us =
            row.heartbeat_timeout_at_us.max(now_us + INDIRECT_SUSPICION_TIMEOUT_US);
    }
    mark_alive(tables, listed);
}

fn mark_alive(tables: &mut Tables, host: HostId) {
    let Some(row) = tables.hosts.get_mut(host) else { return };
    if row.state == HostState::Alive {
        return;
    }
    row.state = HostState::Alive;
    let suspect_at_us = row.suspect_at_us();
    tables.timers.suspicion.set(host, suspect_at_us);
    tables.log(StateChange::HostAlive { host });
    recheck_dependents(tables);
}

/// Schedules everything that depends on the set of live hosts for this tick.
pub(crate) fn recheck_dependents(tables: &mut Tables) {
    let now_us = tables.now_us;
    for &database in tables.owned.keys() {
        tables.timers.owned.set(database, now_us);
    }
    tables.timers.configuration_store.set_if_earlier((), now_us);
}

/// Updates the route of a database from its owner's heartbeat.
fn apply_owned_database(tables: &mut Tables, owner: HostId, owned: &OwnedDatabase) {
    ownership::observe_epoch(tables, owned.database, Some(owner), owned.epoch);
    let is_past_startup_grace = tables.is_past_startup_grace();
    let host = tables.config.host;
    let Some(route) = tables.routes.get_mut(&owned.database) else { return };
    if route.owner != Some(owner) || route.epoch != owned.epoch {
        return;
    }
    route.omitted_since_us = None;
    route.ownership_losses = 0;
    route.standby = owned.standby;
    route.primary_index = owned.primary_index;
    // Just after a start, the owner may still list a reservation for the previous process on this
    // host, which may have used it.
    let is_mine = is_past_startup_grace && owned.standby == Some(host);
    route.reservation = is_mine.then_some(Reservation {
        from: owner,
        from_epoch: owned.epoch,
        epoch: owned.standby_epoch,
    });
}

/// Records the databases that this host believes the sender owns but that its heartbeat omits. A
/// sender with a newer configuration is skipped: the configuration may no longer contain them.
fn record_omissions(tables: &mut Tables, heartbeat: &Heartbeat) {
    if heartbeat.configuration_version > tables.configuration.current.version {
        return;
    }
    let Some(databases) = tables.routes_by_owner.get(&heartbeat.host) else { return };
    let missing: Vec<DatabaseId> = databases
        .iter()
        .copied()
        .filter(|&id| !heartbeat.owned.iter().any(|owned| owned.database == id))
        .collect();
    for database in missing {
        ownership::record_omission(tables, database);
    }
}
