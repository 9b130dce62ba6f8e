//! Handles the responses to calls for ownership records, and claims and renews ownerships.

use super::ownership;
use crate::DatabaseId;
use crate::control::tables::{Standby, Tables};
use crate::control::{OwnerRecord, StoreOperation, StoreResponse};

pub(crate) fn run(tables: &mut Tables) {
    for (operation, response) in core::mem::take(&mut tables.inputs.record_responses) {
        tables.record_calls_in_flight -= 1;
        tables.timers.record.set((), tables.now_us);
        match response {
            StoreResponse::Failed => {
                tables.record_rate_limiter.record_failure(tables.now_us, &mut tables.rng);
            }
            _ => tables.record_rate_limiter.record_success(tables.now_us),
        }
        handle_response(tables, operation, response);
    }
}

/// Handles a response. After a write that failed or found a conflict the record is read again,
/// which shows whether the write took effect; a failed read is repeated by the system that needs
/// the record.
fn handle_response(tables: &mut Tables, operation: StoreOperation, response: StoreResponse) {
    let (StoreOperation::GetOwner { database }
    | StoreOperation::CompareAndSwapOwner { database, .. }) = operation
    else {
        return;
    };
    let Some(route) = tables.routes.get_mut(&database) else { return };
    route.has_record_call = false;
    match (operation, response) {
        (StoreOperation::GetOwner { .. }, StoreResponse::Owner { index, record }) => {
            handle_record(tables, database, index, record);
        }
        (StoreOperation::CompareAndSwapOwner { record, .. }, StoreResponse::Swapped) => {
            apply_written_record(tables, database, record);
        }
        (StoreOperation::CompareAndSwapOwner { .. }, _) => queue_read(tables, database),
        _ => {}
    }
    schedule(tables, database);
}

fn schedule(tables: &mut Tables, database: DatabaseId) {
    let now_us = tables.now_us;
    if tables.owned.contains_key(&database) {
        tables.timers.owned.set(database, now_us);
    } else {
        tables.timers.route.set_if_earlier(database, now_us);
    }
}

fn queue_read(tables: &mut Tables, database: DatabaseId) {
    let Some(route) = tables.routes.get_mut(&database) else { return };
    route.has_record_call = true;
    tables.record_queue.push_back(StoreOperation::GetOwner { database });
}

fn handle_record(
    tables: &mut Tables,
    database: DatabaseId,
    index: u64,
    record: Option<OwnerRecord>,
) {
    let proposed_record = tables.routes[&database].proposed_record;
    if let Some(record) = record
        && proposed_record == Some(record)
    {
        apply_written_record(tables, database, record);
        return;
    }
    let proposal = if tables.owned.contains_key(&database) {
        propose_renewal(tables, database, record)
    } else {
        propose_claim(tables, database, record)
    };
    let Some(proposal) = proposal else { return };
    let route = tables.routes.get_mut(&database).expect("looked up above");
    route.proposed_record = Some(proposal);
    route.has_record_call = true;
    let operation = StoreOperation::CompareAndSwapOwner { database, index, record: proposal };
    // The write goes ahead of queued reads: the longer it waits, the likelier the modification
    // index is outdated.
    tables.record_queue.push_front(operation);
}

/// Highest epoch that is known to be in use or reserved.
fn highest_epoch(tables: &Tables, database: DatabaseId, record: Option<OwnerRecord>) -> u32 {
    let recorded = record.map_or(0, |record| record.owner_epoch.max(record.standby_epoch));
    recorded.max(tables.routes[&database].epoch)
}

fn build_record(
    tables: &Tables,
    database: DatabaseId,
    owner_epoch: u32,
    highest: u32,
) -> OwnerRecord {
    OwnerRecord {
        owner: tables.config.host,
        owner_epoch,
        standby: tables.hosts.first_eligible(database),
        standby_epoch: highest.max(owner_epoch) + 1,
    }
}

/// Builds the record that replaces the present one of a database that this host owns, unless the
/// present one shows that it has lost the database.
fn propose_renewal(
    tables: &mut Tables,
    database: DatabaseId,
    record: Option<OwnerRecord>,
) -> Option<OwnerRecord> {
    let host = tables.config.host;
    if let Some(record) = record
        && record.owner != host
    {
        ownership::observe_epoch(tables, database, Some(record.owner), record.owner_epoch);
    }
    let highest = highest_epoch(tables, database, record);
    let owned = tables.owned.get_mut(&database)?;
    // A record with this host and a higher epoch is from an earlier attempt to claim a new epoch.
    let is_ahead = record.is_some_and(|r| r.owner == host && r.owner_epoch > owned.epoch);
    owned.needs_new_epoch |= is_ahead;
    let owner_epoch = if owned.needs_new_epoch { highest + 1 } else { owned.epoch };
    Some(build_record(tables, database, owner_epoch, highest))
}

/// Builds the record with which this host claims a database, if the record that was read permits
/// it.
fn propose_claim(
    tables: &mut Tables,
    database: DatabaseId,
    record: Option<OwnerRecord>,
) -> Option<OwnerRecord> {
    if let Some(record) = record {
        ownership::observe_epoch(tables, database, Some(record.owner), record.owner_epoch);
        let route = tables.routes.get_mut(&database)?;
        if route.epoch == record.owner_epoch {
            route.standby = record.standby;
        }
    }
    if !ownership::may_claim(tables, database) {
        return None;
    }
    let highest = highest_epoch(tables, database, record);
    Some(build_record(tables, database, highest + 1, highest))
}

/// Applies a record that this host has written: it takes the ownership if the epoch is new, and
/// adopts the standby.
fn apply_written_record(tables: &mut Tables, database: DatabaseId, record: OwnerRecord) {
    tables.routes.get_mut(&database).expect("checked by the caller").proposed_record = None;
    let epoch = record.owner_epoch;
    let owned_epoch = tables.owned.get(&database).map(|owned| owned.epoch);
    if owned_epoch.is_none_or(|present| present < epoch) {
        let route = &tables.routes[&database];
        // A higher epoch or another owner of this epoch has been seen since the write was sent. An
        // equal epoch without an owner is this host's own: a peer can read the record and report
        // its epoch before the response to the write arrives here.
        let is_superseded = route.epoch > epoch || (route.epoch == epoch && route.owner.is_some());
        if is_superseded || tables.draining {
            return;
        }
        ownership::release(tables, database);
        tables.counters.claims += 1;
        ownership::become_owner(tables, database, epoch);
    }
    let standby = record.standby.and_then(|host| {
        let incarnation = tables.hosts.get(host)?.incarnation;
        Some(Standby { host, epoch: record.standby_epoch, incarnation })
    });
    if let Some(owned) = tables.owned.get_mut(&database) {
        owned.record_written = true;
        owned.standby = standby;
        owned.replace_standby_at_us = None;
        tables.routes.get_mut(&database).expect("checked by the caller").standby = record.standby;
        tables.timers.heartbeat.set((), tables.now_us);
    }
}
