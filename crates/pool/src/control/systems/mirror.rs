//! Mirrors the store: reads every item once, then watches for changes.

use bytes::Bytes;

use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{MirrorStage, Tables};
use super::super::{
    Action, StateChange, StoreCall, StoreContent, StoreItem, StoreKey, StoreOutcome, StoreResponse,
};
use super::{directory, membership, store_contact, store_items};
use crate::rendezvous;

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
/// Upper limit of the delay after failed calls. A store that refuses calls counts these too.
const BACKOFF_MAX_US: u64 = 1_000_000;
/// Time for the watch to deliver a version that another proxy has reported.
const MISSED_VERSION_US: u64 = 300_000;
/// Time for the watch to deliver a change that another proxy has seen.
const MISSED_CHANGE_US: u64 = 1_000_000;
/// Number of proxies that watch as briefly as in a small fleet. They notice a broken watch soon, and
/// their heartbeats show the others that there are changes.
const BRIEF_WATCHERS: usize = 3;

pub fn run(tables: &mut Tables, now_us: u64) {
    store_contact::record_silence(tables, now_us);
    read_missed_version(tables, now_us);
    replace_silent_watch(tables, now_us);
    if tables.mirror.is_calling || now_us < tables.mirror.next_call_us {
        return;
    }
    match tables.mirror.stage {
        MirrorStage::Idle | MirrorStage::Listing { as_of: None } => {
            tables.mirror.stage = MirrorStage::Listing { as_of: None };
            tables.mirror.listed_keys.clear();
            tables.mirror.listed_membership = None;
            tables.mirror.listing_since_us = now_us;
            let list = StoreCall::List { cursor: None };
            call(tables, list, now_us, now_us + LIST_TIMEOUT_US);
        }
        // The next page is requested as soon as one arrives, so this page has failed.
        MirrorStage::Listing { .. } => tables.mirror.stage = MirrorStage::Idle,
        MirrorStage::Watching { after_revision } => {
            let wait_ms = watch_wait_ms(tables, now_us);
            let deadline_us = now_us + u64::from(wait_ms) * 1000 + WATCH_SLACK_US;
            let watch = StoreCall::Watch { after_revision, wait_ms };
            call(tables, watch, now_us, deadline_us);
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
    let size = match is_brief_watcher(tables, now_us) {
        true => 1,
        false => tables.fleet_size(now_us) as u64,
    };
    let longest_ms = (WATCH_WAIT_MS_PER_PROXY * size).clamp(WATCH_WAIT_MS, WATCH_WAIT_MAX_MS);
    let spread_ms = rendezvous::weight(&Bytes::new(), &tables.config.name) % (longest_ms / 2);
    u32::try_from(longest_ms - spread_ms).unwrap_or(u32::MAX)
}

/// Ends the delay of the next watch, because another proxy knows a newer membership.
pub fn watch_at_once(tables: &mut Tables, now_us: u64) {
    let is_waiting = matches!(tables.mirror.stage, MirrorStage::Watching { .. });
    if is_waiting && !tables.mirror.is_calling {
        tables.mirror.next_call_us = now_us;
    }
}

/// Whether this proxy is among the few that watch briefly, of those that reach the store.
fn is_brief_watcher(tables: &Tables, now_us: u64) -> bool {
    let weight = |name: &Bytes| rendezvous::weight(&Bytes::new(), name);
    let own = weight(&tables.config.name);
    let before = tables
        .present_members(now_us)
        .filter(|(name, member)| !member.is_store_unreachable && weight(name) > own);
    before.count() < BRIEF_WATCHERS
}

/// Starts the watch again if another proxy has seen a change that it does not deliver.
fn replace_silent_watch(tables: &mut Tables, now_us: u64) {
    let mirror = &mut tables.mirror;
    let MirrorStage::Watching { after_revision } = mirror.stage else { return };
    let is_behind = mirror.reported_revision > mirror.newest_revision.max(after_revision);
    if !is_behind || !mirror.is_calling || mirror.failing_since_us.is_some() {
        mirror.missed_since_us = None;
        return;
    }
    let since_us = *mirror.missed_since_us.get_or_insert(now_us);
    if now_us >= since_us.max(mirror.called_us) + MISSED_CHANGE_US {
        restart_watch(tables, now_us);
    }
}

/// Starts the watch again from the same revision if it was sent before a time. Its connection may
/// have been lost in an outage of the store.
pub fn restart_watch_sent_before(tables: &mut Tables, sent_us: u64, now_us: u64) {
    let is_watching = matches!(tables.mirror.stage, MirrorStage::Watching { .. });
    if is_watching && tables.mirror.is_calling && tables.mirror.called_us < sent_us {
        restart_watch(tables, now_us);
    }
}

fn restart_watch(tables: &mut Tables, now_us: u64) {
    abandon_watch(tables);
    tables.mirror.next_call_us = now_us;
}

/// Abandons the watch. A response that still arrives is ignored.
fn abandon_watch(tables: &mut Tables) {
    tables.mirror.missed_since_us = None;
    tables.mirror.is_calling = false;
    tables.actions.push(Action::AbandonWatch);
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
        abandon_watch(tables);
        tables.mirror.stage = MirrorStage::Idle;
    }
}

fn call(tables: &mut Tables, call: StoreCall, now_us: u64, deadline_us: u64) {
    tables.mirror.is_calling = true;
    tables.mirror.called_us = now_us;
    tables.call_store(call, deadline_us);
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
                store_items::apply(tables, item, now_us);
            }
            membership::read_up_to(tables, tables.mirror.called_us);
            tables.mirror.stage = MirrorStage::Watching { after_revision: as_of };
            if is_deferrable && !is_brief_watcher(tables, now_us) {
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
    let delay_us = (BACKOFF_US << tables.mirror.failures.min(5)).min(BACKOFF_MAX_US);
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
        match item.key {
            StoreKey::Membership => tables.mirror.listed_membership = Some(item),
            _ => store_items::apply(tables, item, now_us),
        }
    }
    if let Some(cursor) = next {
        tables.mirror.stage = MirrorStage::Listing { as_of: Some(first) };
        let list = StoreCall::List { cursor: Some(cursor) };
        return call(tables, list, now_us, now_us + LIST_TIMEOUT_US);
    }
    store_items::remove_unlisted(tables, now_us);
    let membership = tables.mirror.listed_membership.take();
    let membership = membership.unwrap_or(StoreItem {
        key: StoreKey::Membership,
        revision: first,
        content: StoreContent::Removed,
    });
    store_items::apply(tables, membership, now_us);
    membership::read_up_to(tables, tables.mirror.listing_since_us);
    if !core::mem::replace(&mut tables.mirror.is_complete, true) {
        directory::restore(tables, now_us);
    }
    tables.mirror.stage = MirrorStage::Watching { after_revision: first };
    run(tables, now_us);
}
