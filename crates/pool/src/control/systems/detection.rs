//! Decides whether a primary is to be replaced.

use bytes::Bytes;
use flamingorock_core::Position;

use super::super::StateChange;
use super::super::failover_kind::FailoverKind;
use super::super::known_primary::KnownPrimary;
use super::super::replica_set_state::ReplicaSetState;
use super::super::tables::{Tables, display_name};
use super::{claims, replica_lag};

/// Time by which another proxy's sign of life of the primary must be younger than the loss here.
const EVIDENCE_MARGIN_US: u64 = 30_000;
/// Time that a primary stays unknown before one is promoted.
const UNKNOWN_PRIMARY_US: u64 = 2_500_000;
/// Time that an instance whose entry is missing has until it is replaced as primary.
const MISSING_ENTRY_US: u64 = 2_600_000;

pub fn primary_reached(
    tables: &mut Tables,
    name: &Bytes,
    instance: &Bytes,
    at_us: u64,
    position: Option<Position>,
) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance) {
        return;
    }
    set.primary_seen_us = set.primary_seen_us.max(at_us);
    set.last_position = position.or(set.last_position);
    if set.unreachable_since_us.take().is_some() {
        set.claim_due_us = None;
        tables.changes.push(StateChange::PrimaryRegained {
            replica_set: display_name(name),
            instance: display_name(instance),
        });
        tables.is_view_outdated = true;
        tables.is_heartbeat_urgent = true;
    }
}

pub fn primary_unreachable(tables: &mut Tables, name: &Bytes, instance: &Bytes, since_us: u64) {
    let Some(set) = tables.replica_sets.get_mut(name) else { return };
    if set.primary().map(|(primary, _)| primary) != Some(instance)
        || set.unreachable_since_us.is_some()
    {
        return;
    }
    set.unreachable_since_us = Some(since_us);
    tables.changes.push(StateChange::PrimaryLost {
        replica_set: display_name(name),
        instance: display_name(instance),
    });
    tables.is_view_outdated = true;
    tables.is_heartbeat_urgent = true;
}

/// Why a primary is replaced.
enum Decision {
    /// It stays.
    Keep,
    /// It stays, and this proxy does not reach it while others do.
    ReachableByOthers,
    /// It is replaced.
    Replace { kind: FailoverKind, reason: &'static str },
}

pub fn run(tables: &mut Tables, now_us: u64) {
    if !tables.mirror.is_complete || tables.stopping.is_some() {
        return;
    }
    let names: Vec<Bytes> = tables.replica_sets.keys().cloned().collect();
    for name in names {
        match decide(tables, &name, now_us) {
            Decision::Keep | Decision::ReachableByOthers => {
                // While a claim holds the set, the time belongs to the succession of its holder.
                if let Some(set) = tables.replica_sets.get_mut(&name).filter(|set| !set.is_held()) {
                    set.claim_due_us = None;
                }
            }
            Decision::Replace { kind, reason } => {
                claims::claim_in_turn(tables, &name, kind, reason, now_us);
            }
        }
    }
}

fn decide(tables: &Tables, name: &Bytes, now_us: u64) -> Decision {
    let Some(set) = tables.replica_sets.get(name) else { return Decision::Keep };
    if set.failover.is_some() || set.is_held() || set.instances.is_empty() {
        return Decision::Keep;
    }
    match &set.known_primary {
        KnownPrimary::Unknown { since_us } if now_us < since_us + UNKNOWN_PRIMARY_US => {
            Decision::Keep
        }
        KnownPrimary::Unknown { .. } => Decision::Replace {
            kind: FailoverKind::PrimaryUnreachable,
            reason: "no instance leads",
        },
        KnownPrimary::Leader { instance, .. } => match set.unreachable_since_us {
            Some(since_us) => decide_unreachable(tables, name, since_us, now_us),
            None => match decide_leaving(set, instance, now_us) {
                Decision::Keep => decide_replica_lag(tables, set, now_us),
                decision => decision,
            },
        },
    }
}

/// A primary that works is replaced if it is about to stop, or if its entry stays missing.
fn decide_leaving(set: &ReplicaSetState, instance: &Bytes, now_us: u64) -> Decision {
    let has_successor = set
        .instances
        .iter()
        .any(|(id, row)| id != instance && !row.entry.is_leaving && row.missing_since_us.is_none());
    let is_leaving = match set.instances.get(instance) {
        Some(row) => {
            row.entry.is_leaving
                || row
                    .missing_since_us
                    .is_some_and(|since_us| now_us >= since_us + MISSING_ENTRY_US)
        }
        None => false,
    };
    match is_leaving && has_successor {
        true => Decision::Replace {
            kind: FailoverKind::PrimaryLeaving,
            reason: "the primary is leaving",
        },
        false => Decision::Keep,
    }
}

/// A primary that works is replaced if it serves alone because its replicas lag far behind.
fn decide_replica_lag(tables: &Tables, set: &ReplicaSetState, now_us: u64) -> Decision {
    match replica_lag::requires_failover(set, now_us) && !tables.mirror.is_store_unreachable {
        true => Decision::Replace {
            kind: FailoverKind::ReplicasLagging,
            reason: "its replicas lag far behind",
        },
        false => Decision::Keep,
    }
}

/// A primary that this proxy has lost is replaced if no proxy in contact reaches it.
fn decide_unreachable(tables: &Tables, name: &Bytes, since_us: u64, now_us: u64) -> Decision {
    for (_, member) in tables.members.iter().filter(|(_, member)| member.is_in_contact(now_us)) {
        let Some(report) = member.report(name) else { continue };
        if report.is_primary_unreachable {
            continue;
        }
        let heard_us =
            member.last_heartbeat_us.saturating_sub(u64::from(report.primary_silent_ms) * 1000);
        if heard_us > since_us + EVIDENCE_MARGIN_US {
            return Decision::ReachableByOthers;
        }
        if member.last_heartbeat_us < since_us + EVIDENCE_MARGIN_US + PEER_REPORT_US {
            // Its answer to the question is still to come.
            return Decision::Keep;
        }
    }
    Decision::Replace {
        kind: FailoverKind::PrimaryUnreachable,
        reason: "no proxy reaches the primary",
    }
}

/// Time within which another proxy answers the question about a lost primary.
const PEER_REPORT_US: u64 = 60_000;

/// Whether others reach a primary that this proxy has lost.
pub fn is_reachable_by_others(tables: &Tables, name: &Bytes, now_us: u64) -> bool {
    matches!(decide(tables, name, now_us), Decision::ReachableByOthers)
}
