//! Searches for an unknown primary by polling the instances of the replica set.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::known_primary::KnownPrimary;
use super::super::tables::{Tables, display_name};
use super::super::{Action, PromotionState, StateChange};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// Interval between polls.
const INTERVAL_US: u64 = 150_000;
/// Time after which a poll is abandoned.
const TIMEOUT_US: u64 = 400_000;
/// Time for which only instances that claim to be the primary are polled.
const PRIMARIES_ONLY_US: u64 = 600_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete {
        return;
    }
    let names: Vec<Bytes> = tables.configured_sets().cloned().collect();
    let mut calls = Vec::new();
    for name in &names {
        let Some(set) = tables.replica_sets.get_mut(name) else { continue };
        let KnownPrimary::Unknown { since_us } = set.known_primary else { continue };
        if now_us < set.next_search_us || set.instances.is_empty() {
            continue;
        }
        set.next_search_us = now_us + INTERVAL_US;
        let asks_primaries_only = now_us < since_us + PRIMARIES_ONLY_US;
        for (id, instance) in &set.instances {
            let reports_primary = instance.entry.reported_role == Some(ReplicationRole::Primary);
            if reports_primary || !asks_primaries_only {
                calls.push(call(name, id, now_us));
            }
        }
    }
    tables.actions.extend(calls);
}

fn call(name: &Bytes, id: &Bytes, now_us: u64) -> Action {
    Action::Call(InstanceCall {
        replica_set: name.clone(),
        instance: id.clone(),
        command: InstanceCommand::Status,
        deadline_us: now_us + TIMEOUT_US,
    })
}

/// Handles a status response: an instance that acts as primary becomes the known primary.
pub fn status_received(
    tables: &mut Tables,
    call: &InstanceCall,
    status: InstanceStatus,
    now_us: u64,
) {
    let is_primary = status.role == ReplicationRole::Primary;
    if is_primary
        && set_primary(
            tables,
            &call.replica_set,
            &call.instance,
            status.term,
            "the instance",
            now_us,
        )
    {
        if let Some(set) = tables.replica_sets.get_mut(&call.replica_set) {
            set.primary_seen_us = now_us;
        }
        // Other proxies may still be searching.
        tables.is_gossip_due = true;
    }
}

/// Handles the name of a primary from another source. The first connection shows whether this proxy
/// reaches it.
pub fn primary_named(
    tables: &mut Tables,
    name: &Bytes,
    instance: &Bytes,
    term: Term,
    source: &'static str,
    now_us: u64,
) {
    let is_listed =
        tables.replica_sets.get(name).is_some_and(|set| set.instances.contains_key(instance));
    if is_listed {
        set_primary(tables, name, instance, term, source, now_us);
    }
}

/// Sets the primary and ends the search, unless a later term is known or a failover is in progress.
fn set_primary(
    tables: &mut Tables,
    name: &Bytes,
    instance: &Bytes,
    term: Term,
    source: &'static str,
    now_us: u64,
) -> bool {
    let Some(set) = tables.replica_sets.get_mut(name) else { return false };
    let KnownPrimary::Unknown { .. } = set.known_primary else { return false };
    let lowest = lowest_term(set.record.as_ref().map(|known| &known.record.state));
    if term < lowest || set.is_replacing() {
        return false;
    }
    set.set_primary(instance.clone(), term, now_us);
    tables.changes.push(StateChange::Primary {
        replica_set: display_name(name),
        instance: display_name(instance),
        term: term.0,
        source,
    });
    tables.is_view_outdated = true;
    true
}

/// Lowest term that a primary may have.
fn lowest_term(state: Option<&PromotionState>) -> Term {
    match state {
        Some(PromotionState::Done { term, .. } | PromotionState::Claimed { term, .. }) => *term,
        None => Term::default(),
    }
}

/// Handles a write that the known primary refused because it does not act as primary.
pub fn primary_refused(tables: &mut Tables, name: &Bytes, instance: &Bytes, now_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance) || set.is_replacing() {
        return;
    }
    set.known_primary = KnownPrimary::Unknown { since_us: now_us };
    tables.changes.push(StateChange::PrimaryUnknown {
        replica_set: display_name(name),
        reason: "the instance refused to act as primary",
    });
    tables.is_view_outdated = true;
}
