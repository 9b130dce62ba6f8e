//! Looks for the primary of a replica set by asking its instances.

use bytes::Bytes;
use flamingorock_core::Term;

use super::super::known_primary::KnownPrimary;
use super::super::tables::{Tables, text};
use super::super::{Action, PromotionState, StateChange};
use crate::{InstanceCall, InstanceCommand, InstanceStatus, ReplicationRole};

/// Interval at which the instances are asked.
const INTERVAL_US: u64 = 150_000;
/// Time after which a question is given up.
const TIMEOUT_US: u64 = 400_000;
/// Time during which only instances are asked that believe to lead.
const NARROW_US: u64 = 600_000;

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete {
        return;
    }
    let mut calls = Vec::new();
    for (name, set) in &mut tables.sets {
        let KnownPrimary::Unknown { since_us } = set.known_primary else { continue };
        if now_us < set.search_us || set.instances.is_empty() {
            continue;
        }
        set.search_us = now_us + INTERVAL_US;
        let is_narrow = now_us < since_us + NARROW_US;
        for (id, instance) in &set.instances {
            let believes = instance.entry.reported_role == Some(ReplicationRole::Primary);
            if believes || !is_narrow {
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

/// An instance has reported its state: if it leads, it is the primary.
pub fn answered(tables: &mut Tables, call: &InstanceCall, status: InstanceStatus, now_us: u64) {
    let is_primary = status.role == ReplicationRole::Primary;
    if is_primary && find(tables, &call.replica_set, &call.instance, status.term, "the instance") {
        if let Some(set) = tables.sets.get_mut(&call.replica_set) {
            set.heard_us = now_us;
        }
        // The others may still be searching.
        tables.is_urgent = true;
    }
}

/// The primary is known from elsewhere. Whether this proxy reaches it shows with the first connection.
pub fn told(tables: &mut Tables, name: &Bytes, instance: &Bytes, term: Term, source: &'static str) {
    let is_listed = tables.sets.get(name).is_some_and(|set| set.instances.contains_key(instance));
    if is_listed {
        find(tables, name, instance, term, source);
    }
}

/// Ends the search, unless what was found has been superseded.
fn find(
    tables: &mut Tables,
    name: &Bytes,
    instance: &Bytes,
    term: Term,
    source: &'static str,
) -> bool {
    let Some(set) = tables.sets.get_mut(name) else { return false };
    let KnownPrimary::Unknown { .. } = set.known_primary else { return false };
    let lowest = lowest_term(set.record.as_ref().map(|known| &known.record.state));
    if term < lowest || set.is_held() {
        return false;
    }
    set.known_primary = KnownPrimary::Leader { instance: instance.clone(), term };
    set.lost_since_us = None;
    tables.changes.push(StateChange::Primary {
        replica_set: text(name),
        instance: text(instance),
        term: term.0,
        source,
    });
    tables.is_changed = true;
    true
}

/// Term below which no instance may lead.
fn lowest_term(state: Option<&PromotionState>) -> Term {
    match state {
        Some(PromotionState::Done { term, .. } | PromotionState::Claimed { term, .. }) => *term,
        None => Term::default(),
    }
}

/// The believed primary has refused a write.
pub fn refused(tables: &mut Tables, name: &Bytes, instance: &Bytes, now_us: u64) {
    let Some(set) = tables.sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance) || set.is_held() {
        return;
    }
    set.known_primary = KnownPrimary::Unknown { since_us: now_us };
    tables.changes.push(StateChange::PrimaryUnknown {
        replica_set: text(name),
        reason: "the instance refused to act as primary",
    });
    tables.is_changed = true;
}
