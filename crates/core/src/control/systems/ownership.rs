//! Tracks who owns each database, and claims or takes over databases that have lost their owner.

use crate::control::tables::{OwnedDatabase, Route, Tables};
use crate::control::{StateChange, StoreOperation};
use crate::message::OwnershipUpdate;
use crate::{DatabaseId, HostId, InstanceId};

/// Time after which any host may claim a database that has neither an owner nor a standby.
const CLAIM_DELAY_US: u64 = 2_000_000;
/// The same for a host that hears from no majority of the fleet (itself counted). It is more likely
/// partitioned than the only survivor, and would take the database from a host that callers can
/// reach.
const MINORITY_CLAIM_DELAY_US: u64 = 8_000_000;
/// Maximum number of times that the delay is doubled for a host in a minority that keeps losing the
/// database to an owner that it cannot hear from. Without the doubling, two partitions of a fleet
/// would take the database from each other every few seconds.
const MAX_CLAIM_DELAY_DOUBLINGS: u32 = 3;
/// Delay between consecutive hosts in rendezvous order, so that the first one claims alone.
const CLAIM_STEP_US: u64 = 300_000;
/// Maximum number of steps that a host waits, whatever its rank.
const MAX_CLAIM_STEPS: u64 = 10;
/// Additional delay while the standby is alive, which normally takes over first. It does not if it
/// has lost its reservation in a restart.
const STANDBY_DELAY_US: u64 = 3_000_000;
/// Time for which an owner may omit a database from its heartbeats before it no longer counts as
/// its owner: three heartbeat intervals.
const OMISSION_TIMEOUT_US: u64 = 450_000;
/// Interval at which a database without an owner is examined.
const RECHECK_US: u64 = 500_000;
/// Interval at which a standby that delays its takeover checks whether it hears from a majority
/// again.
const TAKEOVER_RECHECK_US: u64 = 100_000;
/// Time for which this host's heartbeats gossip an ownership change.
const UPDATE_GOSSIP_US: u64 = 3_000_000;

/// Next step for a database that this host does not own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// Check again at the given time, or when new information arrives.
    Wait(Option<u64>),
    /// Take over as the standby, with the reserved epoch.
    TakeOver(u32),
    /// Read the ownership record to find out who owns the database.
    ReadRecord,
    /// Read the ownership record, then claim the database if the record permits it.
    Claim,
}

pub(crate) fn run(tables: &mut Tables) {
    for (database, epoch) in core::mem::take(&mut tables.inputs.superseded) {
        observe_epoch(tables, database, None, epoch);
    }
    for database in tables.timers.route.take_expired(tables.now_us) {
        match next_step(tables, database) {
            Step::Wait(None) => {}
            Step::Wait(Some(due_us)) => tables.timers.route.set(database, due_us),
            Step::TakeOver(epoch) => take_over(tables, database, epoch),
            step @ (Step::ReadRecord | Step::Claim) => {
                let route = tables.routes.get_mut(&database).expect("next_step found the route");
                route.has_record_call = true;
                route.is_record_read |= step == Step::ReadRecord;
                tables.record_queue.push_back(StoreOperation::GetOwner { database });
                tables.timers.record.set((), tables.now_us);
            }
        }
    }
}

fn next_step(tables: &mut Tables, database: DatabaseId) -> Step {
    let now_us = tables.now_us;
    if !tables.is_past_startup_grace() {
        return Step::Wait(Some(tables.startup_grace_ends_us()));
    }
    let Some(route) = tables.routes.get_mut(&database) else { return Step::Wait(None) };
    if tables.draining || tables.owned.contains_key(&database) {
        return Step::Wait(None);
    }
    if let Some(owner) = route.owner.filter(|&owner| !tables.hosts.is_suspected(owner)) {
        let omission_ends_us =
            route.omitted_since_us.map(|since_us| since_us + OMISSION_TIMEOUT_US);
        if omission_ends_us.is_none() {
            route.unowned_since_us = None;
        }
        if owner != tables.config.host && omission_ends_us.is_none_or(|end_us| now_us < end_us) {
            return Step::Wait(omission_ends_us);
        }
    }
    let since_us = *route.unowned_since_us.get_or_insert(now_us);
    if let Some(reserved) = reserved_epoch(route) {
        let due_us = since_us + tables.hosts.takeover_delay_us(now_us);
        if now_us < due_us {
            // The delay ends early once this host hears from a majority again.
            return Step::Wait(Some(due_us.min(now_us + TAKEOVER_RECHECK_US)));
        }
        return Step::TakeOver(reserved);
    }
    if route.has_record_call {
        return Step::Wait(None);
    }
    let claim_at_us = since_us + claim_delay_us(tables, database);
    if now_us >= claim_at_us {
        return Step::Claim;
    }
    let route = &tables.routes[&database];
    let is_unknown = route.owner.is_none() && route.epoch > 0 && !route.is_record_read;
    if is_unknown && now_us >= since_us + RECHECK_US {
        return Step::ReadRecord;
    }
    Step::Wait(Some(claim_at_us.min(now_us + RECHECK_US)))
}

/// Epoch that the current owner in the route has reserved for this host.
fn reserved_epoch(route: &Route) -> Option<u32> {
    let reservation = route.reservation?;
    let is_valid = route.owner == Some(reservation.from) && route.epoch == reservation.from_epoch;
    is_valid.then_some(reservation.epoch)
}

/// Time for which a database must have had no owner before this host claims it.
fn claim_delay_us(tables: &Tables, database: DatabaseId) -> u64 {
    let host = tables.config.host;
    let route = &tables.routes[&database];
    let rank_delay_us =
        tables.hosts.rank(database.as_u32(), host).min(MAX_CLAIM_STEPS) * CLAIM_STEP_US;
    let loss_delay_us = match route.epoch {
        0 => 0,
        _ if tables.hosts.hears_from_majority(tables.now_us) => CLAIM_DELAY_US,
        _ => MINORITY_CLAIM_DELAY_US << route.ownership_losses.min(MAX_CLAIM_DELAY_DOUBLINGS),
    };
    let standby_delay_us = match route.standby {
        Some(standby) if tables.hosts.is_eligible(standby) => STANDBY_DELAY_US,
        _ => 0,
    };
    rank_delay_us + loss_delay_us + standby_delay_us
}

/// Whether this host may claim a database whose record it has just read.
pub(crate) fn may_claim(tables: &mut Tables, database: DatabaseId) -> bool {
    next_step(tables, database) == Step::Claim
}

/// Takes over as the standby with the reserved epoch, without waiting for the key-value service.
/// The ownership record is updated later.
pub(crate) fn take_over(tables: &mut Tables, database: DatabaseId, epoch: u32) {
    tables.counters.takeovers += 1;
    become_owner(tables, database, epoch);
}

/// Makes this host the owner of a database under an epoch.
pub(crate) fn become_owner(tables: &mut Tables, database: DatabaseId, epoch: u32) {
    let now_us = tables.now_us;
    let Some(entry) = tables.configuration.current.database(database) else { return };
    let instance_count = entry.instances.len();
    let host = tables.config.host;
    set_owner(tables, database, Some(host), epoch);
    let mut owned = OwnedDatabase::new(epoch, instance_count, now_us);
    owned.last_primary = tables.routes[&database].primary_index;
    tables.owned.insert(database, owned);
    tables.timers.owned.set(database, now_us);
    // Announces the new owner at once.
    tables.timers.heartbeat.set((), now_us);
    tables.view_changed = true;
    tables.log(StateChange::OwnershipTaken { database, epoch });
}

/// Ends this host's ownership of a database, if it has it.
pub(crate) fn release(tables: &mut Tables, database: DatabaseId) {
    let Some(owned) = tables.owned.remove(&database) else { return };
    if let Some(route) = tables.routes.get_mut(&database)
        && route.owner == Some(tables.config.host)
    {
        route.owner = None;
    }
    tables.timers.owned.cancel(database);
    for index in owned.indices() {
        tables.timers.instance.cancel(InstanceId { database, index });
    }
    tables.view_changed = true;
}

/// Removes the route of a database that the configuration no longer contains.
pub(crate) fn remove_route(tables: &mut Tables, database: DatabaseId) {
    set_owner(tables, database, None, 0);
    tables.routes.remove(&database);
    tables.timers.route.cancel(database);
}

/// Updates the route with an epoch that is in use and, if known, its owner. Only a higher epoch, or
/// the owner of a known epoch whose owner was unknown, has an effect. If this host owns the
/// database under a lower epoch, it steps down.
pub(crate) fn observe_epoch(
    tables: &mut Tables,
    database: DatabaseId,
    owner: Option<HostId>,
    epoch: u32,
) {
    // The owner was an earlier process on this host, which no longer exists.
    let owner = owner.filter(|&owner| owner != tables.config.host);
    let Some(route) = tables.routes.get(&database) else { return };
    let names_owner = epoch == route.epoch && route.owner.is_none() && owner.is_some();
    if epoch <= route.epoch && !names_owner {
        return;
    }
    set_owner(tables, database, owner, epoch);
    if tables.owned.contains_key(&database) {
        release(tables, database);
        if let Some(route) = tables.routes.get_mut(&database) {
            route.ownership_losses += 1;
        }
        tables.counters.step_downs += 1;
        tables.log(StateChange::OwnershipLost { database, epoch });
    }
    if let Some(owner) = owner {
        tables.ownership_updates.retain(|(update, _)| update.database != database);
        let update = OwnershipUpdate { database, owner, epoch };
        tables.ownership_updates.push_back((update, tables.now_us + UPDATE_GOSSIP_US));
    }
    tables.timers.route.set(database, tables.now_us);
}

/// Records that a heartbeat of the owner omits the database.
pub(crate) fn record_omission(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    let Some(route) = tables.routes.get_mut(&database) else { return };
    if route.omitted_since_us.is_none() {
        route.omitted_since_us = Some(now_us);
        tables.timers.route.set(database, now_us + OMISSION_TIMEOUT_US);
    }
}

fn set_owner(tables: &mut Tables, database: DatabaseId, owner: Option<HostId>, epoch: u32) {
    let now_us = tables.now_us;
    let Some(route) = tables.routes.get_mut(&database) else { return };
    let previous = route.owner;
    *route = Route {
        owner,
        epoch,
        unowned_since_us: owner.is_none().then_some(now_us),
        primary_index: route.primary_index,
        ownership_losses: route.ownership_losses,
        has_record_call: route.has_record_call,
        proposed_record: route.proposed_record,
        ..Route::new()
    };
    tables.view_changed = true;
    if let Some(previous) = previous
        && let Some(databases) = tables.routes_by_owner.get_mut(&previous)
    {
        databases.remove(&database);
    }
    if let Some(owner) = owner {
        tables.routes_by_owner.entry(owner).or_default().insert(database);
    }
}
