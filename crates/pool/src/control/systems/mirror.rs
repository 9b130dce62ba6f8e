//! Mirrors the store: reads everything once, then watches for changes.

use super::super::replica_set_state::{KnownInstance, ReplicaSetState};
use super::super::tables::{MirrorStage, Tables, text};
use super::super::{
    StateChange, StoreAnswer, StoreCall, StoreContent, StoreItem, StoreKey, StoreOutcome,
};
use super::{directory, heartbeats, records};
use crate::rendezvous;
use bytes::Bytes;
use std::sync::Arc;

/// How long the store may hold a watch. Short enough that a silent connection is noticed within the
/// time in which a configuration must be in force.
const WATCH_WAIT_MS: u64 = 3_000;
/// The same for each proxy of a large fleet. The proxies' watches end at different times, and the
/// first one that ends tells the others of a newer version.
const WATCH_WAIT_MS_PER_PROXY: u64 = 600;
/// Longest time for which the store may hold a watch.
const WATCH_WAIT_MAX_MS: u64 = 20_000;
/// Delay of the next watch after changes that are not urgent. When a fleet starts, every record of a
/// proxy or an instance would otherwise end the watch of every proxy.
const BATCH_US: u64 = 300_000;
/// The same for each proxy of a large fleet: every watch that ends is a call, and each of them ends
/// the watches of all.
const BATCH_US_PER_PROXY: u64 = 25_000;
/// Longest delay of the next watch after changes that are not urgent.
const BATCH_MAX_US: u64 = 1_000_000;
/// Time beyond the wait after which a watch is given up.
const WATCH_SLACK_US: u64 = 400_000;
/// Time after which a page is given up.
const LIST_TIMEOUT_US: u64 = 1_000_000;
/// Delay after a failed call, doubled with each failure.
const BACKOFF_US: u64 = 50_000;
/// Largest delay after a failed call.
const BACKOFF_MAX_US: u64 = 400_000;
/// Silence after which the store counts as lost.
const LOST_US: u64 = 2_000_000;
/// Time for the watch to bring a version that another proxy has reported.
const VERSION_US: u64 = 300_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    note_silence(tables, now_us);
    read_missed_version(tables, now_us);
    if tables.mirror.is_calling || now_us < tables.mirror.next_us {
        return;
    }
    match tables.mirror.stage {
        MirrorStage::Idle | MirrorStage::Listing { as_of: None } => {
            tables.mirror.stage = MirrorStage::Listing { as_of: None };
            tables.mirror.found.clear();
            call(tables, StoreCall::List { cursor: None }, now_us + LIST_TIMEOUT_US);
        }
        // The next page is asked for as soon as one arrives; this is a page that failed.
        MirrorStage::Listing { .. } => tables.mirror.stage = MirrorStage::Idle,
        MirrorStage::Watching { after_revision } => {
            let wait_ms = watch_wait_ms(tables, now_us);
            let deadline_us = now_us + u64::from(wait_ms) * 1000 + WATCH_SLACK_US;
            let watch = StoreCall::Watch { after_revision, wait_ms };
            call(tables, watch, deadline_us);
        }
    }
}

/// Delay of the next watch after changes that are not urgent.
fn batch_us(tables: &Tables, now_us: u64) -> u64 {
    let size = tables.fleet_size(now_us) as u64;
    (BATCH_US_PER_PROXY * size).clamp(BATCH_US, BATCH_MAX_US)
}

/// Wait of the next watch, between half and all of what the size of the fleet allows, by the name of
/// the proxy.
fn watch_wait_ms(tables: &Tables, now_us: u64) -> u32 {
    let size = tables.fleet_size(now_us) as u64;
    let longest_ms = (WATCH_WAIT_MS_PER_PROXY * size).clamp(WATCH_WAIT_MS, WATCH_WAIT_MAX_MS);
    let spread_ms = rendezvous::weight(&Bytes::new(), &tables.config.name) % (longest_ms / 2);
    u32::try_from(longest_ms - spread_ms).unwrap_or(u32::MAX)
}

/// Reads everything beside the watch if another proxy has a newer configuration, or knows of a claim
/// that this one has not seen: the watch may be silent.
fn read_missed_version(tables: &mut Tables, now_us: u64) {
    let is_behind = tables.reported_version > tables.configuration.version
        || tables.sets.values().any(ReplicaSetState::has_unseen_claim);
    if !is_behind {
        tables.mirror.behind_since_us = None;
        return;
    }
    let since_us = *tables.mirror.behind_since_us.get_or_insert(now_us);
    let is_watching = matches!(tables.mirror.stage, MirrorStage::Watching { .. });
    if is_watching && tables.mirror.is_calling && now_us >= since_us + VERSION_US {
        tables.mirror.behind_since_us = None;
        // The answer of the abandoned watch is ignored when it comes.
        tables.mirror.stage = MirrorStage::Idle;
        tables.mirror.is_calling = false;
    }
}

fn call(tables: &mut Tables, call: StoreCall, deadline_us: u64) {
    tables.mirror.is_calling = true;
    tables.call_store(call, deadline_us);
}

fn note_silence(tables: &mut Tables, now_us: u64) {
    let silence_us = now_us.saturating_sub(tables.mirror.heard_us);
    if silence_us > LOST_US && !tables.mirror.is_lost {
        tables.mirror.is_lost = true;
        tables.changes.push(StateChange::StoreLost { silence_ms: silence_us / 1000 });
    }
}

/// Any real answer shows that the store lives.
pub fn note_contact(tables: &mut Tables, answer: &StoreAnswer, now_us: u64) {
    if matches!(answer.outcome, StoreOutcome::Rejected | StoreOutcome::Unknown) {
        return;
    }
    let silence_us = now_us.saturating_sub(tables.mirror.heard_us);
    if core::mem::take(&mut tables.mirror.is_lost) {
        tables.changes.push(StateChange::StoreRegained { silence_ms: silence_us / 1000 });
    }
    if silence_us > LOST_US {
        tables.mirror.contact_since_us = now_us;
    }
    tables.mirror.heard_us = now_us;
}

pub fn answered(tables: &mut Tables, answer: StoreAnswer, now_us: u64) {
    if !is_expected(tables, &answer.call) {
        return;
    }
    tables.mirror.is_calling = false;
    match answer.outcome {
        StoreOutcome::Page { items, as_of, next } => {
            page(tables, items, as_of, next, now_us);
        }
        StoreOutcome::Changes { items, as_of } => {
            tables.mirror.failures = 0;
            let is_patient = !items.is_empty()
                && items.iter().all(|item| {
                    matches!(
                        item.key,
                        StoreKey::Member(_) | StoreKey::Instance(_) | StoreKey::Directory(_)
                    )
                });
            for item in items {
                apply(tables, item, now_us);
            }
            tables.mirror.stage = MirrorStage::Watching { after_revision: as_of };
            if is_patient {
                tables.mirror.next_us = now_us + batch_us(tables, now_us);
            }
            run(tables, now_us);
        }
        StoreOutcome::HistoryLost => {
            if let MirrorStage::Watching { after_revision } = tables.mirror.stage {
                tables.changes.push(StateChange::HistoryLost { revision: after_revision });
            }
            tables.mirror.stage = MirrorStage::Idle;
            run(tables, now_us);
        }
        _ => back_off(tables, now_us),
    }
}

/// Whether an answer belongs to the present stage, and not to a watch that was abandoned.
fn is_expected(tables: &Tables, call: &StoreCall) -> bool {
    match (&tables.mirror.stage, call) {
        (
            MirrorStage::Watching { after_revision },
            StoreCall::Watch { after_revision: own, .. },
        ) => after_revision == own,
        (MirrorStage::Listing { .. }, StoreCall::List { .. }) => true,
        _ => false,
    }
}

/// After a failed watch everything is read again: the history may be gone, and a watch that was cut
/// may have missed changes.
fn back_off(tables: &mut Tables, now_us: u64) {
    let delay_us = (BACKOFF_US << tables.mirror.failures.min(3)).min(BACKOFF_MAX_US);
    tables.mirror.failures += 1;
    tables.mirror.next_us = now_us + delay_us;
    tables.mirror.stage = MirrorStage::Idle;
}

fn page(
    tables: &mut Tables,
    items: Vec<StoreItem>,
    as_of: u64,
    next: Option<bytes::Bytes>,
    now_us: u64,
) {
    let MirrorStage::Listing { as_of: first } = tables.mirror.stage else { return };
    let first = first.unwrap_or(as_of);
    tables.mirror.failures = 0;
    for item in items {
        tables.mirror.found.push(item.key.clone());
        apply(tables, item, now_us);
    }
    if let Some(cursor) = next {
        tables.mirror.stage = MirrorStage::Listing { as_of: Some(first) };
        return call(tables, StoreCall::List { cursor: Some(cursor) }, now_us + LIST_TIMEOUT_US);
    }
    note_missing(tables, now_us);
    if !core::mem::replace(&mut tables.mirror.is_complete, true) {
        directory::recall(tables, now_us);
    }
    tables.mirror.stage = MirrorStage::Watching { after_revision: first };
    run(tables, now_us);
}

/// Entries that a complete reading did not show are gone from the store.
fn note_missing(tables: &mut Tables, now_us: u64) {
    let found = core::mem::take(&mut tables.mirror.found);
    let has = |key: StoreKey| found.contains(&key);
    let mut missing: Vec<StoreKey> = tables
        .members
        .iter()
        .filter(|(_, member)| member.is_listed)
        .map(|(name, _)| StoreKey::Member(name.clone()))
        .filter(|key| !has(key.clone()))
        .collect();
    let own = StoreKey::Member(tables.config.name.clone());
    if tables.registration.is_written && !has(own.clone()) {
        missing.push(own);
    }
    let instances = tables.sets.values().flat_map(|set| set.instances.keys());
    missing
        .extend(instances.map(|id| StoreKey::Instance(id.clone())).filter(|key| !has(key.clone())));
    for key in missing {
        apply(tables, StoreItem { key, revision: 0, content: StoreContent::Removed }, now_us);
    }
}

fn apply(tables: &mut Tables, item: StoreItem, now_us: u64) {
    match (item.key, item.content) {
        (_, StoreContent::Configuration(configuration)) => {
            apply_configuration(tables, configuration);
        }
        (_, StoreContent::Instance(entry)) => apply_instance(tables, entry, now_us),
        (StoreKey::Member(name), StoreContent::Member(record)) => {
            heartbeats::list(tables, name, record);
        }
        (StoreKey::Promotion(set), StoreContent::Promotion(record)) => {
            records::apply(tables, &set, record, item.revision, "the store", now_us);
            records::answer_claim(tables, &set, now_us);
        }
        (StoreKey::Directory(set), StoreContent::Directory(record)) => {
            directory::apply(tables, &set, record, item.revision);
        }
        (StoreKey::Member(name), StoreContent::Removed) => {
            heartbeats::unlist(tables, &name, now_us);
        }
        (StoreKey::Instance(id), StoreContent::Removed) => miss_instance(tables, &id, now_us),
        (key, StoreContent::Unreadable { reason }) => {
            // An unreadable entry names no instance to use.
            if let StoreKey::Instance(id) = &key {
                miss_instance(tables, id, now_us);
            }
            tables.changes.push(StateChange::UnreadableItem { key: format!("{key:?}"), reason });
        }
        _ => {}
    }
}

fn apply_configuration(tables: &mut Tables, configuration: crate::Configuration) {
    if configuration.version <= tables.configuration.version {
        return;
    }
    tables.changes.push(StateChange::Configuration {
        version: configuration.version,
        former: tables.configuration.version,
    });
    tables.configuration = Arc::new(configuration);
    tables.is_changed = true;
    tables.is_urgent = true;
}

pub fn apply_instance(tables: &mut Tables, entry: crate::InstanceEntry, now_us: u64) {
    let set = tables
        .sets
        .entry(entry.replica_set.clone())
        .or_insert_with(|| ReplicaSetState::new(now_us));
    let former = set.instances.get(&entry.id);
    let is_news =
        former.is_none_or(|former| former.entry != entry || former.missing_since_us.is_some());
    if is_news {
        tables.changes.push(StateChange::InstanceFound {
            instance: text(&entry.id),
            replica_set: text(&entry.replica_set),
            is_leaving: entry.is_leaving,
        });
        set.instances.insert(entry.id.clone(), KnownInstance { entry, missing_since_us: None });
        tables.is_changed = true;
    }
}

fn miss_instance(tables: &mut Tables, id: &bytes::Bytes, now_us: u64) {
    for set in tables.sets.values_mut() {
        if let Some(instance) = set.instances.get_mut(id) {
            instance.missing_since_us.get_or_insert(now_us);
        }
    }
}
