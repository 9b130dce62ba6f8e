//! Mirrors the store: reads every item once, then watches for changes.

use super::super::replica_set_state::{KnownInstance, ReplicaSetState};
use super::super::tables::{MirrorStage, Tables, display_name};
use super::super::{
    StateChange, StoreCall, StoreContent, StoreItem, StoreKey, StoreOutcome, StoreResponse,
};
use super::{directory, heartbeats, records};
use crate::rendezvous;
use bytes::Bytes;
use std::sync::Arc;

/// Longest watch in a small fleet. It is short enough that a broken connection is noticed within
/// the time in which a new configuration must come into force.
const WATCH_WAIT_MS: u64 = 3_000;
/// Watch time for each proxy of a large fleet. The proxies' watches end at different times, and the
/// first that ends tells the others of a newer version.
const WATCH_WAIT_MS_PER_PROXY: u64 = 600;
/// Upper limit of the watch time, which is the platform's.
const WATCH_WAIT_MAX_MS: u64 = 30_000;
/// Shortest delay of the next watch after changes that may wait. Without it, each proxy or instance
/// that registers during a start of the fleet would end the watches of all proxies.
const BATCH_DELAY_US: u64 = 300_000;
/// Delay for each proxy of a large fleet. Each watch that ends costs a call, and each change ends
/// the watches of all proxies.
const BATCH_DELAY_US_PER_PROXY: u64 = 25_000;
/// Upper limit of the delay of the next watch.
const BATCH_DELAY_MAX_US: u64 = 3_000_000;
/// The same while an instance is missing, whose entry may return.
const MISSING_BATCH_DELAY_MAX_US: u64 = 1_000_000;
/// Time beyond the requested wait after which a watch is abandoned.
const WATCH_SLACK_US: u64 = 400_000;
/// Time after which the read of a page is abandoned.
const LIST_TIMEOUT_US: u64 = 1_000_000;
/// Delay after a failed call; it doubles with each failure.
const BACKOFF_US: u64 = 50_000;
/// Upper limit of the delay after failed calls.
const BACKOFF_MAX_US: u64 = 400_000;
/// Time for which every call has failed after which the store counts as unreachable.
const UNREACHABLE_US: u64 = 1_300_000;
/// Time for the watch to deliver a version that another proxy has reported.
const MISSED_VERSION_US: u64 = 300_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    record_silence(tables, now_us);
    read_missed_version(tables, now_us);
    if tables.mirror.is_calling || now_us < tables.mirror.next_call_us {
        return;
    }
    match tables.mirror.stage {
        MirrorStage::Idle | MirrorStage::Listing { as_of: None } => {
            tables.mirror.stage = MirrorStage::Listing { as_of: None };
            tables.mirror.listed_keys.clear();
            call(tables, StoreCall::List { cursor: None }, now_us + LIST_TIMEOUT_US);
        }
        // The next page is requested as soon as one arrives, so this page has failed.
        MirrorStage::Listing { .. } => tables.mirror.stage = MirrorStage::Idle,
        MirrorStage::Watching { after_revision } => {
            let wait_ms = watch_wait_ms(tables, now_us);
            let deadline_us = now_us + u64::from(wait_ms) * 1000 + WATCH_SLACK_US;
            let watch = StoreCall::Watch { after_revision, wait_ms };
            call(tables, watch, deadline_us);
        }
    }
}

/// Delay of the next watch after changes that may wait, by the size of the fleet.
fn batch_delay_us(tables: &Tables, now_us: u64) -> u64 {
    let size = tables.fleet_size(now_us) as u64;
    let mut instances = tables.replica_sets.values().flat_map(|set| set.instances.values());
    let is_any_missing = instances.any(|instance| instance.missing_since_us.is_some());
    let longest_us = if is_any_missing { MISSING_BATCH_DELAY_MAX_US } else { BATCH_DELAY_MAX_US };
    (BATCH_DELAY_US_PER_PROXY * size).clamp(BATCH_DELAY_US, longest_us)
}

/// Wait of the next watch: half to all of the limit for the size of the fleet, spread by a hash of
/// the proxy's name.
fn watch_wait_ms(tables: &Tables, now_us: u64) -> u32 {
    let size = tables.fleet_size(now_us) as u64;
    let longest_ms = (WATCH_WAIT_MS_PER_PROXY * size).clamp(WATCH_WAIT_MS, WATCH_WAIT_MAX_MS);
    let spread_ms = rendezvous::weight(&Bytes::new(), &tables.config.name) % (longest_ms / 2);
    u32::try_from(longest_ms - spread_ms).unwrap_or(u32::MAX)
}

/// Reads the whole store again if another proxy reports a newer configuration or claim and the
/// watch does not deliver it: the watch's connection may be broken.
fn read_missed_version(tables: &mut Tables, now_us: u64) {
    let is_behind = tables.reported_configuration_version > tables.configuration.version
        || tables.replica_sets.values().any(ReplicaSetState::has_unseen_claim);
    if !is_behind {
        tables.mirror.behind_since_us = None;
        return;
    }
    let since_us = *tables.mirror.behind_since_us.get_or_insert(now_us);
    let is_watching = matches!(tables.mirror.stage, MirrorStage::Watching { .. });
    if is_watching && tables.mirror.is_calling && now_us >= since_us + MISSED_VERSION_US {
        tables.mirror.behind_since_us = None;
        // If the abandoned watch gets a response later, it is ignored.
        tables.mirror.stage = MirrorStage::Idle;
        tables.mirror.is_calling = false;
    }
}

fn call(tables: &mut Tables, call: StoreCall, deadline_us: u64) {
    tables.mirror.is_calling = true;
    tables.call_store(call, deadline_us);
}

fn record_silence(tables: &mut Tables, now_us: u64) {
    let Some(failing_since_us) = tables.mirror.failing_since_us else { return };
    let silence_us = now_us.saturating_sub(failing_since_us);
    if silence_us > UNREACHABLE_US && !tables.mirror.is_store_unreachable {
        tables.mirror.is_store_unreachable = true;
        tables.changes.push(StateChange::StoreLost { silence_ms: silence_us / 1000 });
    }
}

/// Records contact with the store. A refused call or one without a response does not count as
/// contact.
pub fn record_contact(tables: &mut Tables, response: &StoreResponse, now_us: u64) {
    if matches!(response.outcome, StoreOutcome::Rejected | StoreOutcome::Unknown) {
        tables.mirror.failing_since_us.get_or_insert(now_us);
        return;
    }
    let Some(failing_since_us) = tables.mirror.failing_since_us.take() else { return };
    let silence_us = now_us.saturating_sub(failing_since_us);
    if core::mem::take(&mut tables.mirror.is_store_unreachable) {
        tables.changes.push(StateChange::StoreRegained { silence_ms: silence_us / 1000 });
        tables.mirror.contact_since_us = now_us;
    }
}

pub fn response_received(tables: &mut Tables, response: StoreResponse, now_us: u64) {
    if !is_expected(tables, &response.call) {
        return;
    }
    tables.mirror.is_calling = false;
    match response.outcome {
        StoreOutcome::Page { items, as_of, next } => {
            page_received(tables, items, as_of, next, now_us);
        }
        StoreOutcome::Changes { items, as_of } => {
            tables.mirror.failures = 0;
            let is_deferrable = !items.is_empty()
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
            if is_deferrable {
                tables.mirror.next_call_us = now_us + batch_delay_us(tables, now_us);
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

/// Whether a response belongs to the current stage, and not to an abandoned watch.
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

/// Schedules a complete read after a failed call. The store's history may be gone, and a watch that
/// was cut off may have missed changes.
fn back_off(tables: &mut Tables, now_us: u64) {
    let delay_us = (BACKOFF_US << tables.mirror.failures.min(3)).min(BACKOFF_MAX_US);
    tables.mirror.failures += 1;
    tables.mirror.next_call_us = now_us + delay_us;
    tables.mirror.stage = MirrorStage::Idle;
}

fn page_received(
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
        tables.mirror.listed_keys.push(item.key.clone());
        apply(tables, item, now_us);
    }
    if let Some(cursor) = next {
        tables.mirror.stage = MirrorStage::Listing { as_of: Some(first) };
        return call(tables, StoreCall::List { cursor: Some(cursor) }, now_us + LIST_TIMEOUT_US);
    }
    remove_unlisted(tables, now_us);
    if !core::mem::replace(&mut tables.mirror.is_complete, true) {
        directory::restore(tables, now_us);
    }
    tables.mirror.stage = MirrorStage::Watching { after_revision: first };
    run(tables, now_us);
}

/// Applies the removal of items that a complete read did not return.
fn remove_unlisted(tables: &mut Tables, now_us: u64) {
    let listed_keys = core::mem::take(&mut tables.mirror.listed_keys);
    let is_listed = |key: StoreKey| listed_keys.contains(&key);
    let mut missing: Vec<StoreKey> = tables
        .members
        .iter()
        .filter(|(_, member)| member.is_registered)
        .map(|(name, _)| StoreKey::Member(name.clone()))
        .filter(|key| !is_listed(key.clone()))
        .collect();
    let own = StoreKey::Member(tables.config.name.clone());
    if tables.registration.is_written && !is_listed(own.clone()) {
        missing.push(own);
    }
    let instances = tables.replica_sets.values().flat_map(|set| set.instances.keys());
    missing.extend(
        instances.map(|id| StoreKey::Instance(id.clone())).filter(|key| !is_listed(key.clone())),
    );
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
            heartbeats::register(tables, name, record, now_us);
        }
        (StoreKey::Promotion(set), StoreContent::Promotion(record)) => {
            records::apply(tables, &set, record, item.revision, "the store", now_us);
            records::acknowledge_claim(tables, &set, now_us);
        }
        (StoreKey::Directory(set), StoreContent::Directory(record)) => {
            directory::apply(tables, &set, record, item.revision);
        }
        (StoreKey::Member(name), StoreContent::Removed) => {
            heartbeats::unregister(tables, &name, now_us);
        }
        (StoreKey::Instance(id), StoreContent::Removed) => {
            mark_instance_missing(tables, &id, now_us)
        }
        (key, StoreContent::Unreadable { reason }) => {
            // An entry that cannot be decoded names no usable instance.
            if let StoreKey::Instance(id) = &key {
                mark_instance_missing(tables, id, now_us);
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
    tables.is_view_outdated = true;
    tables.is_gossip_due = true;
}

pub fn apply_instance(tables: &mut Tables, entry: crate::InstanceEntry, now_us: u64) {
    let set = tables
        .replica_sets
        .entry(entry.replica_set.clone())
        .or_insert_with(|| ReplicaSetState::new(now_us));
    let known = set.instances.get(&entry.id);
    let is_changed =
        known.is_none_or(|known| known.entry != entry || known.missing_since_us.is_some());
    if is_changed {
        tables.changes.push(StateChange::InstanceFound {
            instance: display_name(&entry.id),
            replica_set: display_name(&entry.replica_set),
            is_leaving: entry.is_leaving,
        });
        let (id, replica_set) = (entry.id.clone(), entry.replica_set.clone());
        set.instances.insert(id.clone(), KnownInstance { entry, missing_since_us: None });
        tables.is_view_outdated = true;
        mark_missing(tables, &id, now_us, |name| *name != replica_set);
    }
}

fn mark_instance_missing(tables: &mut Tables, id: &Bytes, now_us: u64) {
    mark_missing(tables, id, now_us, |_| true);
}

/// Marks an instance as missing in the replica sets that `is_affected` selects.
fn mark_missing(
    tables: &mut Tables,
    id: &Bytes,
    now_us: u64,
    is_affected: impl Fn(&Bytes) -> bool,
) {
    for (name, set) in &mut tables.replica_sets {
        if let Some(instance) = set.instances.get_mut(id).filter(|_| is_affected(name)) {
            instance.missing_since_us.get_or_insert(now_us);
        }
    }
}
