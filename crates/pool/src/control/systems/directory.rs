//! Keeps the record of each replica set's instances in the store, and uses it after a start.
//!
//! Answers the load after a loss of power of the whole fleet: the primary need not be searched, and
//! instances whose entries lapsed while the store was away are used before their entries are back.

use bytes::Bytes;

use super::super::replica_set_state::{KnownInstance, ReplicaSetState};
use super::super::tables::{Tables, text};
use super::super::{
    Condition, DirectoryRecord, StateChange, StoreAnswer, StoreCall, StoreContent, StoreOutcome,
};
use super::{claims, search};

/// Time for which the instances must be unchanged before they are recorded. A replacement changes
/// them several times.
const STABLE_US: u64 = 700_000;
/// Time after which a write is given up.
const TIMEOUT_US: u64 = 700_000;
/// Delay after a failed write.
const BACKOFF_US: u64 = 2_000_000;

/// Notes a record that the store has.
pub fn apply(tables: &mut Tables, name: &Bytes, record: DirectoryRecord, revision: u64) {
    let directory = tables.directories.entry(name.clone()).or_default();
    if revision > directory.revision {
        directory.revision = revision;
        directory.record = Some(record);
    }
}

/// Uses the records after the first complete reading of the store. An instance without an entry
/// counts as missing, so that it is dropped if its entry does not come back.
pub fn recall(tables: &mut Tables, now_us: u64) {
    let records: Vec<(Bytes, DirectoryRecord)> = tables
        .directories
        .iter()
        .filter_map(|(name, directory)| Some((name.clone(), directory.record.clone()?)))
        .collect();
    for (name, record) in records {
        for entry in &record.instances {
            recall_instance(tables, &name, entry.clone(), now_us);
        }
        let is_same = |known: &KnownInstance| {
            record.instances.iter().any(|entry| {
                entry.id == record.primary && entry.started_unix_ms == known.entry.started_unix_ms
            })
        };
        let known = tables.sets.get(&name).and_then(|set| set.instances.get(&record.primary));
        if known.is_some_and(is_same) {
            search::told(tables, &name, &record.primary, record.term, "the directory");
        }
    }
}

fn recall_instance(tables: &mut Tables, name: &Bytes, entry: crate::InstanceEntry, now_us: u64) {
    let set = tables.sets.entry(name.clone()).or_insert_with(|| ReplicaSetState::new(now_us));
    if set.instances.contains_key(&entry.id) {
        return;
    }
    tables
        .changes
        .push(StateChange::InstanceRecalled { instance: text(&entry.id), replica_set: text(name) });
    let known = KnownInstance { entry, missing_since_us: Some(now_us) };
    set.instances.insert(known.entry.id.clone(), known);
    tables.is_changed = true;
}

/// Records what has changed, by one proxy of those in contact for each set.
pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete || tables.mirror.is_lost || tables.stopping.is_some() {
        return;
    }
    let due: Vec<(Bytes, DirectoryRecord)> = tables
        .sets
        .iter()
        .filter_map(|(name, set)| Some((name.clone(), present_record(set)?)))
        .filter(|(name, _)| claims::turn(tables, name, now_us) == 0)
        .collect();
    for (name, record) in due {
        keep(tables, &name, record, now_us);
    }
}

/// What is to be recorded of a set, if all of it is certain.
fn present_record(set: &ReplicaSetState) -> Option<DirectoryRecord> {
    let (primary, term) = set.primary()?;
    let is_certain = set.lost_since_us.is_none()
        && !set.is_held()
        && set.instances.contains_key(primary)
        && set.instances.values().all(|row| row.missing_since_us.is_none());
    let entry = |row: &KnownInstance| {
        // The believed role is not recorded: it may be out of date, and the primary is named anyway.
        crate::InstanceEntry { reported_role: None, ..row.entry.clone() }
    };
    is_certain.then(|| DirectoryRecord {
        instances: set.instances.values().map(entry).collect(),
        primary: primary.clone(),
        term,
    })
}

fn keep(tables: &mut Tables, name: &Bytes, record: DirectoryRecord, now_us: u64) {
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
    tables.call_store(call, now_us + TIMEOUT_US);
}

/// The store has answered a write. After a lost answer the watch shows whether it was done.
pub fn answered(tables: &mut Tables, answer: StoreAnswer, now_us: u64) {
    let StoreCall::WriteDirectory { replica_set, record, .. } = answer.call else { return };
    match answer.outcome {
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
    directory.next_us = now_us + BACKOFF_US;
}
