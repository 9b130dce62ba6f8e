//! Takes answers to calls for ownership records and decides what follows from a record.

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

/// A failed read is repeated; a failed or refused write is followed by a read, which tells what came
/// of it.
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
    // The index grows stale while the write waits, so it goes before the reads.
    tables.record_queue.push_front(operation);
}

/// Highest epoch that is in use or reserved.
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

/// The record that this host wants in place of the present one of a database that it owns.
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
    // A record with this owner and a higher epoch is an earlier attempt to claim a new epoch.
    let is_ahead = record.is_some_and(|r| r.owner == host && r.owner_epoch > owned.epoch);
    owned.needs_new_epoch |= is_ahead;
    let owner_epoch = if owned.needs_new_epoch { highest + 1 } else { owned.epoch };
    Some(build_record(tables, database, owner_epoch, highest))
}

/// The record with which this host claims a database, if the record that was read allows it.
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

/// Takes a record into force that this host has written.
fn apply_written_record(tables: &mut Tables, database: DatabaseId, record: OwnerRecord) {
    tables.routes.get_mut(&database).expect("checked by the caller").proposed_record = None;
    let epoch = record.owner_epoch;
    let owned_epoch = tables.owned.get(&database).map(|owned| owned.epoch);
    if owned_epoch.is_none_or(|present| present < epoch) {
        let route = &tables.routes[&database];
        // Another host has used a higher epoch in the meantime. The epoch itself may have been seen
        // already: others read the record before its writer learns that it is written.
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
