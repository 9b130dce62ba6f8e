//! Maintains the directory record of each replica set in the store, and restores the instances from
//! it after a start.
//!
//! This covers a power loss of the whole fleet: the primary is known without polling, and instances
//! whose entries expired while the store was unavailable are used before they register again.

use bytes::Bytes;

use super::super::replica_set_state::{KnownInstance, ReplicaSetState};
use super::super::tables::{Tables, display_name};
use super::super::{
    Condition, DirectoryRecord, StateChange, StoreCall, StoreContent, StoreOutcome, StoreResponse,
};
use super::{claims, search};

/// Time for which the instances must be unchanged before a record is written. A failover changes
/// them several times.
const STABLE_US: u64 = 700_000;
/// Time after which a write is abandoned.
const WRITE_TIMEOUT_US: u64 = 700_000;
/// Shortest time between the response to a write and the next write.
const RETRY_US: u64 = 2_000_000;

/// Applies a record that was read from the store.
pub fn apply(tables: &mut Tables, name: &Bytes, record: DirectoryRecord, revision: u64) {
    let directory = tables.directories.entry(name.clone()).or_default();
    if revision > directory.revision {
        directory.revision = revision;
        directory.record = Some(record);
    }
}

/// Restores the instances after the store was read completely for the first time. An instance
/// without an entry counts as missing, so that it is removed unless its entry returns.
pub fn restore(tables: &mut Tables, now_us: u64) {
    let records: Vec<(Bytes, DirectoryRecord)> = tables
        .directories
        .iter()
        .filter_map(|(name, directory)| Some((name.clone(), directory.record.clone()?)))
        .collect();
    for (name, record) in records {
        for entry in &record.instances {
            restore_instance(tables, &name, entry.clone(), now_us);
        }
        let is_same = |known: &KnownInstance| {
            record.instances.iter().any(|entry| {
                entry.id == record.primary && entry.started_unix_ms == known.entry.started_unix_ms
            })
        };
        let known =
            tables.replica_sets.get(&name).and_then(|set| set.instances.get(&record.primary));
        if known.is_some_and(is_same) {
            search::primary_named(
                tables,
                &name,
                &record.primary,
                record.term,
                "the directory record",
                now_us,
            );
        }
    }
}

fn restore_instance(tables: &mut Tables, name: &Bytes, entry: crate::InstanceEntry, now_us: u64) {
    let set =
        tables.replica_sets.entry(name.clone()).or_insert_with(|| ReplicaSetState::new(now_us));
    if set.instances.contains_key(&entry.id) {
        return;
    }
    tables.changes.push(StateChange::InstanceRecalled {
        instance: display_name(&entry.id),
        replica_set: display_name(name),
    });
    let known = KnownInstance { entry, missing_since_us: Some(now_us) };
    set.instances.insert(known.entry.id.clone(), known);
    tables.is_view_outdated = true;
}

/// Writes records that are out of date. For each replica set, only the first proxy in claim order
/// does.
pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete || tables.mirror.is_store_unreachable || tables.stopping.is_some()
    {
        return;
    }
    let due: Vec<(Bytes, DirectoryRecord)> = tables
        .configured_sets()
        .filter_map(|name| Some((name.clone(), confirmed_record(tables.replica_sets.get(name)?)?)))
        .filter(|(name, _)| claims::claim_order(tables, name, now_us) == 0)
        .collect();
    for (name, record) in due {
        write_if_changed(tables, &name, record, now_us);
    }
}

/// The record to write, if the primary and all instances are confirmed at present.
fn confirmed_record(set: &ReplicaSetState) -> Option<DirectoryRecord> {
    let (primary, term) = set.primary()?;
    let is_confirmed = set.unreachable_since_us.is_none()
        && !set.is_replacing()
        && set.instances.contains_key(primary)
        && set.instances.values().all(|row| row.missing_since_us.is_none());
    let entry = |row: &KnownInstance| {
        // Omits the reported role: it may be out of date, and the record names the primary.
        crate::InstanceEntry { reported_role: None, ..row.entry.clone() }
    };
    is_confirmed.then(|| DirectoryRecord {
        instances: set.instances.values().map(entry).collect(),
        primary: primary.clone(),
        term,
    })
}

fn write_if_changed(tables: &mut Tables, name: &Bytes, record: DirectoryRecord, now_us: u64) {
    let directory = tables.directories.entry(name.clone()).or_default();
    if directory.record.as_ref() == Some(&record) {
        directory.pending = None;
        return;
    }
    match &directory.pending {
        Some((pending, _)) if *pending == record => {}
        _ => directory.pending = Some((record.clone(), now_us)),
    }
    let since_us = directory.pending.as_ref().map_or(now_us, |(_, since_us)| *since_us);
    let is_due = now_us >= since_us + STABLE_US && now_us >= directory.next_us;
    if directory.is_writing || !is_due {
        return;
    }
    directory.is_writing = true;
    let condition = Condition { revision: directory.revision };
    let call = StoreCall::WriteDirectory { replica_set: name.clone(), record, condition };
    tables.call_store(call, now_us + WRITE_TIMEOUT_US);
}

/// Handles the response to a write. If the response was lost, the watch shows whether the write
/// took place.
pub fn write_response_received(tables: &mut Tables, response: StoreResponse, now_us: u64) {
    let StoreCall::WriteDirectory { replica_set, record, .. } = response.call else { return };
    match response.outcome {
        StoreOutcome::Written { revision } => apply(tables, &replica_set, record, revision),
        StoreOutcome::Conflict { item: Some(item) } => {
            if let StoreContent::Directory(found) = item.content {
                apply(tables, &replica_set, found, item.revision);
            }
        }
        _ => {}
    }
    let directory = tables.directories.entry(replica_set).or_default();
    directory.is_writing = false;
    directory.next_us = now_us + RETRY_US;
}
